// Package relay is a TCP proxy with which tests can partition, freeze and delay
// the network between two processes.
//
// A Relay forwards connections to one address. Data dropped by a partition is
// lost: a connection that lost data forwards nothing more in that direction and
// is closed when the partition ends. Data received while the relay is frozen is
// forwarded once it is unfrozen. Single clients can be cut off as well.
package relay
