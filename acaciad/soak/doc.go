// Package soak has a randomized test that runs the real daemon in separate processes
// with stand-ins of the platform, injects faults from outside, and checks what callers,
// backend servers and the platform observe.
//
//	go test ./soak -args -first 1 -seeds 50 -length 12s
//
// Flags select how many seeds also restore the store (-restore-seeds), cut VMs off from servers
// (-cut-seeds) or have a large failure domain (-reader-seeds).
//
// A seed determines the faults and their order, but not the interleaving of the
// processes. The logs of a failed seed are kept, and their directory is printed.
package soak
