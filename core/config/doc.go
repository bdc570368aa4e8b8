// Package config defines the configuration that operators declare: service
// classes, client accounts and their keys, models, failure domains, backend
// servers, pools, plain services, routes, limits and billing. ReadFolder reads a
// folder of INI files, and Parse merges them in the order of their names. Both
// collect all findings and return them together as a *finding.List. A Config that
// Parse returns is never changed: goroutines share it, and a daemon replaces it as
// a whole.
//
// The sections and settings are defined in tables, one for each kind of section.
// Parse, its suggestions for misspelled names and the reference page use these
// tables.
package config
