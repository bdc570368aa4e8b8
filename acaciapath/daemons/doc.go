// Package daemons queries the daemons on all VMs for their status, and summarizes the
// leases, queues and backend servers that they report.
package daemons
