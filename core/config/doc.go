// Package config holds what the operators declare: service classes, client
// accounts and their keys, models, backend servers, pools, plain services,
// routes and limits.
//
// ReadFolder reads a folder of INI files and Parse merges them in the order of
// their names. Both collect all findings and report them together, as a
// *finding.List. A Config that Parse returned is never changed: daemons share
// it between threads and replace it as a whole.
//
// The sections and settings stand in tables, one to each kind of section, from
// which Parse, its suggestions and the reference page are made.
package config
