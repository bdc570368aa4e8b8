package forwarding

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"acaciapath.example/core/forwarding"
)

// observedConnection is a connection to the backend server at address that tells a
// monitor what arrives.
type observedConnection struct {
	net.Conn
	monitor *Monitor
	address string
	// written and heard state that bytes were sent and that bytes arrived, and failed that
	// the connection ended before.
	written, heard, failed atomic.Bool
}

var _ syscall.Conn = (*observedConnection)(nil)

// Read implements net.Conn.
func (o *observedConnection) Read(b []byte) (int, error) {
	n, err := o.Conn.Read(b)
	switch {
	case n > 0:
		o.monitor.heard(o.address, !o.heard.Load() && !o.heard.Swap(true))
	case err != nil && !o.heard.Load():
		o.fail(err)
	}
	return n, err
}

// Write implements net.Conn.
func (o *observedConnection) Write(b []byte) (int, error) {
	n, err := o.Conn.Write(b)
	o.written.Store(true)
	if err != nil && !o.heard.Load() {
		o.fail(err)
	}
	return n, err
}

// SyscallConn implements syscall.Conn. It returns an error if the connection is not one of the
// system.
func (o *observedConnection) SyscallConn() (syscall.RawConn, error) {
	if c, ok := o.Conn.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// fail records that the connection ended before a byte arrived. A connection that carried
// nothing may end because it is idle.
func (o *observedConnection) fail(err error) {
	contact, ok := contactOf(err)
	if !ok || !o.written.Load() && errors.Is(err, io.EOF) || o.failed.Swap(true) {
		return
	}
	o.monitor.observe(o.address, contact)
}

// contactOf returns the outcome of a connection that ended with err, before a byte arrived
// unless err is nil. It returns false for errors of this VM.
func contactOf(err error) (c forwarding.Contact, ok bool) {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return forwarding.Opened, true
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return forwarding.Refused, true
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF):
		return forwarding.Reset, true
	case errors.As(err, &timeout) && timeout.Timeout():
		return forwarding.TimedOut, true
	}
	return 0, false
}
