// Package replica keeps the state of backend servers as one entry daemon knows
// it, and chooses the one that runs a request: by its load, which is the
// published one corrected by the requests that this daemon has started and
// ended since, by its speed, by the prompt prefixes that it has probably
// cached, by its failure domain, by its kind and by its recent failures.
//
// All functions take the present time and the random source as arguments and
// perform no I/O.
package replica
