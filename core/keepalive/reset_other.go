//go:build !unix

package keepalive

import "syscall"

// resetOnClose does nothing: the option is not set in the same way on all systems.
func resetOnClose(syscall.RawConn) error { return nil }
