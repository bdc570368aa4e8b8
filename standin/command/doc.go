// Package command is the command line of the simulated services.
//
// Each subcommand serves one simulated service until its context ends. The first
// line on standard output is "listening on" and the address of the service.
package command
