// Package memory divides the memory that a process has for what others send it among those who
// send it.
package memory
