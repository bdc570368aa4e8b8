// Package replica keeps the state of backend servers as one entry daemon knows
// it, and chooses the one that runs a request. The choice depends on load,
// speed, failure domain, kind, recent failures and the prompt prefixes that the
// server has probably cached. The load is the one that the server published,
// corrected by the requests that this daemon has started and ended since.
//
// Functions that need the present time or a random source take it as an
// argument; none performs I/O.
package replica
