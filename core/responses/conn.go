package responses

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// conn is a connection that tells the end of its input from a reset that a write has seen. The
// operating system reports a reset once: to a write, if there is one, and then the reads end as
// if the peer had closed the connection in order.
type conn struct {
	net.Conn
	// writing is the number of writes in progress, and failed is set once one has failed.
	writing atomic.Int32
	failed  atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// Read implements net.Conn. It returns io.ErrUnexpectedEOF at the end of the input if a write
// has failed or does not end, or if the peer has not received all that was written.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF { // never wrapped
		return n, err
	}
	for end := time.Now().Add(writeGrace); c.isSending() && time.Now().Before(end); {
		time.Sleep(writePollInterval)
	}
	if c.isSending() || c.failed.Load() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// isSending reports whether the peer has not received all that was written or is being written.
func (c *conn) isSending() bool { return c.writing.Load() > 0 || unacknowledged(c.Conn) > 0 }

// unacknowledged returns the number of bytes that were written and that the peer has not
// acknowledged, or 0 if the operating system does not tell. A peer acknowledges what it has
// received in the segment that ends its output.
func unacknowledged(connection net.Conn) int {
	withFile, ok := connection.(syscall.Conn)
	if !ok {
		return 0
	}
	file, err := withFile.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = file.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0
	}
	return n
}

const (
	// writeGrace is how long the rest of a request may take after the end of the response. A
	// write that has seen a reset returns at once.
	writeGrace = 100 * time.Millisecond
	// writePollInterval is the time between two checks for the end of a write.
	writePollInterval = time.Millisecond
)
