// Package program runs the command of a daemon as a process, with its signals
// and exit codes, and runs periodic work.
package program
