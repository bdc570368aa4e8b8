// Package link simulates the network between one client and its servers.
//
// A Link opens TCP connections for a client in the same process and can be cut at any
// time, while the servers stay reachable for others. It can also hold back what the
// servers send, as if they fell silent.
package link
