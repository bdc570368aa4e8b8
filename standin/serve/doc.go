// Package serve serves the HTTP interfaces of simulated services on TCP ports.
package serve
