//go:build unix

package keepalive

import "syscall"

// resetOnClose sets SO_LINGER with a time of 0 on a connection.
func resetOnClose(connection syscall.RawConn) error {
	var err error
	controlErr := connection.Control(func(fd uintptr) {
		err = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
