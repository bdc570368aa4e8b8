// Package loopback finds TCP ports of the loopback interface for tests that must
// know a port before something listens on it, or one that nothing listens on.
//
// A port found by listening on port 0 is not suited: it lies in the range from
// which the system takes the ports of outgoing connections and of all who listen on
// port 0, so that once it is closed any process may be given it. The ports of this
// package lie below that range.
//
// No port is returned twice, neither to one process nor to two that run at once. A
// process claims ports in blocks, by listening on the first port of a block until it
// ends.
package loopback
