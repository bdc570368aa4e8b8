// Package daemon assembles an entry daemon from its components, so that a
// program or a test can run it within its own process.
package daemon
