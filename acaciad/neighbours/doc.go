// Package neighbours lets a daemon that cannot reach the platform's store, or that
// the store refuses, call it through another daemon, a neighbour. Package detour
// selects the path of each call.
//
// Daemons find each other through rows in the store; each daemon writes one about
// itself. Only calls that any daemon may send go through neighbours: calls of feeds,
// reads, and writes whose conditions let the store commit them only once. Calls for
// the lease of the control tasks do not, since its holder must reach the platform
// itself. A daemon that shuts down while the store is unavailable hands over its last
// writes to a neighbour, which queues them.
package neighbours
