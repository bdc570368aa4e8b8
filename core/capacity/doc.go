// Package capacity contains tests that measure how the memory and the messages of
// a daemon grow with the size of a deployment. docs/CAPACITY.md quotes the results.
package capacity
