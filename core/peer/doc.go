// Package peer carries JSON-RPC 2.0 between the project's own processes: entry
// daemons, control daemons and the operators' command line.
//
// A peers' port admits only members, by mutual TLS; without TLS it may only be
// bound to a loopback address.
package peer
