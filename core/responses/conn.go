package responses

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
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
// has failed, or does not end.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF { // never wrapped
		return n, err
	}
	for end := time.Now().Add(writeGrace); c.writing.Load() > 0 && time.Now().Before(end); {
		time.Sleep(writePollInterval)
	}
	if c.writing.Load() > 0 || c.failed.Load() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

const (
	// writeGrace is how long the rest of a request may take after the end of the response. A
	// write that has seen a reset returns at once.
	writeGrace = 100 * time.Millisecond
	// writePollInterval is the time between two checks for the end of a write.
	writePollInterval = time.Millisecond
)
