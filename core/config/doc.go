// Package config holds what the operators declare: service classes, client
// accounts and their keys, models, backend servers, pools, plain services,
// routes and limits.
//
// A folder of INI files, merged in the order of their names, is read by Load,
// which collects all findings and reports them together. A Config that Load
// returned without findings of severity error is never changed: daemons share
// it between threads and replace it as a whole.
package config
