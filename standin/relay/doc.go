// Package relay forwards TCP connections, so that tests can cut, freeze and
// delay the link between two processes.
//
// A Relay stands in front of one address. Data that is dropped by a cut is
// lost for good, as the connections that it belonged to are broken from then
// on; data that is held by a freeze goes on once the link is unfrozen.
package relay
