// Package replica keeps the state of backend servers as one entry daemon knows
// it, and chooses the one that runs a request: by its load, its speed, the
// prompt prefixes that it has probably cached, its failure domain, its kind and
// its recent failures.
//
// All functions take the present time and the random source as arguments and
// perform no I/O.
package replica
