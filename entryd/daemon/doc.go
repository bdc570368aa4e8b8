// Package daemon assembles an entry daemon from its parts, so that a program or
// a test can run it in its process.
package daemon
