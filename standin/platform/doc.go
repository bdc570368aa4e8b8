// Package platform is a stand-in of the platform, in memory: its table
// service, object store, list of VMs, ordering of backend servers and usage
// reports.
//
// A Server serves them over HTTP on one port, and hands out clients that call
// the same services in process. Every call passes the faults of its interface
// and leaves an Entry in the receivers' log. Beside the interfaces the port
// has control paths for tests: see PathFaults, PathLog and the others.
package platform
