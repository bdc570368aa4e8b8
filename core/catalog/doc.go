// Package catalog defines the configuration of a router that forwards requests
// without interpreting their bodies: routes, services, client accounts and
// limits.
//
// A Catalog is one revision of the configuration as an operator published it. An
// Index provides lookups in a Catalog. It is built once per revision and is then
// read-only, so that requests can use it concurrently without a lock.
package catalog
