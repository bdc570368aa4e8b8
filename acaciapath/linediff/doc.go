// Package linediff compares texts line by line and writes the differences in the unified
// diff format.
package linediff
