// Package replica chooses the backend server that runs a request: by what is
// known of its load and the age of that knowledge, by its speed, by the prompt
// prefixes that it has probably cached, and by how it was bought.
//
// All functions take the present time and the random source as arguments and
// perform no I/O.
package replica
