// Package loopback finds free TCP ports of the loopback interface. It is for tests that
// must know a port before something listens on it, or that need a port on which nothing
// listens.
//
// Listening on port 0 and closing the listener does not give such a port. The system
// takes it from the ephemeral range, which also provides the ports of outgoing
// connections and of all other listeners on port 0, so any process may be given the
// same port once it is closed. The ports of this package lie below the ephemeral range.
// A process never gets the same port twice, and processes that run at the same time
// never get the same port: each claims ports in blocks, by listening on the first port
// of a block until the process ends.
package loopback
