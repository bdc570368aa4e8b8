// Package platform simulates the platform in memory: its table service, object
// store, list of VMs, ordering of backend servers and usage reports.
//
// A Server serves these interfaces over HTTP on one port and provides clients
// that call the same services in process. Each call is subject to the faults of
// its interface and adds a LogEntry to the log. The port also serves control
// paths for tests, such as PathFaults and PathLog.
package platform
