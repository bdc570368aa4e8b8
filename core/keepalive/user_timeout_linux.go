package keepalive

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT on a connection.
func setUserTimeout(connection syscall.RawConn, timeout time.Duration) error {
	var err error
	controlErr := connection.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
