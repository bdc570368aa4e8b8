// Package soak has a randomized test that runs the real daemon in separate processes
// with stand-ins of the platform, injects faults from outside, and checks what callers,
// backend servers and the platform observe.
//
//	go test ./soak -args -first 1 -seeds 50 -length 12s
//
// A seed determines the faults and their order, but not the interleaving of the
// processes. The logs of a failed seed are kept, and their directory is printed.
package soak
