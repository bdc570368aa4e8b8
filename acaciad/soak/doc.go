// Package soak has a randomized test that runs the real daemon as separate
// processes before the stand-ins of the platform, injects faults from outside
// and checks what callers, backend servers and the platform saw.
//
//	go test ./soak -args -first 1 -seeds 50 -length 12s
//
// A seed fixes the faults and their order, not the interleaving of processes. The
// logs of a seed that failed are kept, and their folder is printed.
package soak
