//go:build !linux

package keepalive

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing: the option is particular to Linux.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
