package connections

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readAhead is how much net/http reads at once, of which a part may belong to the body.
	readAhead = 4 << 10
	// headerMemory is the memory of a header beside its bytes.
	headerMemory = 160
	// refusalTime bounds the time in which a refusal is sent and what the other end still
	// sends is discarded, up to maxDiscardedBytes: closing a connection with unread bytes
	// would discard the refusal.
	refusalTime       = 500 * time.Millisecond
	maxDiscardedBytes = 64 << 10
)

// Answers of refused connections. No request was read, so none was run.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noMemory     = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// errRefused is the error of reads from a connection that was refused.
var errRefused = errors.New("connections: refused")

// conn is a connection of a Guard. Its reads are limited while a head is due: between requests and
// until a head is complete.
type conn struct {
	net.Conn
	guard   *Guard
	address string

	// element is the place in one of the guard's lists, in, since waitsSince, or nil, and counted
	// states that the connection is one of those that are open. All are guarded by guard.mu.
	element    *list.Element
	in         *list.List
	waitsSince time.Time
	counted    bool

	mu sync.Mutex // makes changes of inRequest, the fields below and the read deadline one step
	// readsBody states that the body of a request is being read, and expelled that this has ended
	// early, since the connection makes room for another.
	readsBody, expelled bool
	// inRequest states that a head is complete and its request has not ended.
	inRequest atomic.Bool
	// ending states that the connection is closed instead of waiting for another head.
	ending atomic.Bool
	// headBytes is the size of the head so far, headBegan the arrival of its first byte, and
	// reserved the memory taken for it. Only the goroutine that reads heads uses them.
	headBytes int
	headBegan time.Time
	reserved  atomic.Int64
	// headErr is the error that ended the head. All later reads return it: net/http reads on
	// after some errors, and would take what comes next for the rest of the head.
	headErr error
}

// leave stops counting the connection. The caller holds guard.mu.
func (c *conn) leave() {
	if c.counted {
		c.counted = false
		c.guard.open--
	}
}

// list adds the connection to a list. The caller holds guard.mu.
func (c *conn) list(in *list.List, now time.Time) {
	c.in, c.waitsSince = in, now
	c.element = in.PushBack(c)
}

// unlist removes the connection from its list. The caller holds guard.mu.
func (c *conn) unlist() {
	if c.element != nil {
		c.in.Remove(c.element)
		c.element, c.in = nil, nil
	}
}

// endHead records that a head is complete. Reads are not limited until awaitHead, nor are writes.
func (c *conn) endHead() {
	c.guard.await(c, nil, time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest.Store(true)
	_ = c.Conn.SetDeadline(time.Time{}) // an error shows in the next read
}

// awaitHead records that a request has ended.
func (c *conn) awaitHead() {
	c.release()
	c.headBytes = 0
	c.inRequest.Store(false)
	c.guard.await(c, c.guard.idle, time.Now())
}

// release gives back the memory of the head.
func (c *conn) release() { c.guard.Budget.Release(c.address, c.reserved.Swap(0)) }

// Close closes the connection.
func (c *conn) Close() error {
	c.guard.remove(c)
	c.release()
	return c.Conn.Close()
}

// CloseWrite closes the writing side, if the connection can do that.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets how the connection is closed, if it can do that.
func (c *conn) SetLinger(seconds int) error { return SetLinger(c.Conn, seconds) }

// endIdle ends the wait for another head. A request whose head is complete is still served.
func (c *conn) endIdle() {
	c.ending.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inRequest.Load() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that it is closed already
	}
}

// beginBody records that the body of a request is being read.
func (c *conn) beginBody() {
	c.mu.Lock()
	c.readsBody = true
	c.mu.Unlock()
	c.guard.await(c, c.guard.bodies, time.Now())
}

// endBody records that it is not any more, and reports whether the connection was expelled before.
func (c *conn) endBody() (expelled bool) {
	c.mu.Lock()
	c.readsBody, expelled = false, c.expelled
	c.mu.Unlock()
	c.guard.await(c, nil, time.Now())
	return expelled
}

// readRequest reads while a request runs.
func (c *conn) readRequest(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	readsBody := c.readsBody
	c.mu.Unlock()
	if n > 0 && readsBody {
		c.guard.await(c, c.guard.bodies, time.Now())
	}
	return n, err
}

// expel ends the wait for the rest of a body. A request whose body is complete is still served.
func (c *conn) expel() {
	c.ending.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsBody {
		c.expelled = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that it is closed already
	}
}

// SetReadDeadline sets the time until which reads wait. Those of an expelled connection do not.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expelled {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads within the limits of the guard.
func (c *conn) Read(p []byte) (int, error) {
	// While a request runs, net/http watches for the end of the connection by a read of one byte,
	// which begins before the handler. If it is a head that has room for one byte only, the
	// deadline of its last read still applies.
	if c.inRequest.Load() || len(p) == 1 {
		return c.readRequest(p)
	}
	if c.headErr != nil {
		return 0, c.headErr
	}
	n, err := c.readHead(p)
	if n == 0 && err != nil {
		c.headErr = err
		if c.headBytes > 0 {
			_ = c.Close() // net/http would answer a part of a request line
		}
	}
	return n, err
}

// readHead reads a part of a head.
func (c *conn) readHead(p []byte) (int, error) {
	limits := c.guard.limits.Load()
	if c.headBytes >= limits.HeadBytes+readAhead {
		return 0, c.refuse(ReasonHeadTooLarge, headTooLarge)
	}
	c.setHeadDeadline(limits)
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.headBytes > 0 && !c.ending.Load() {
		c.guard.OnRefused(c.address, ReasonHeadTooSlow)
	}
	if n == 0 {
		return n, err
	}
	if c.headBytes == 0 {
		c.headBegan = time.Now()
	}
	c.headBytes += n
	memory := int64(n + headerMemory*bytes.Count(p[:n], []byte("\n")))
	if !c.guard.Budget.Reserve(c.address, memory) {
		return 0, c.refuse(ReasonMemory, noMemory)
	}
	c.reserved.Add(memory)
	return n, err
}

// setHeadDeadline limits the wait for the next bytes of a head.
func (c *conn) setHeadDeadline(limits *Limits) {
	deadline := time.Now().Add(limits.IdleTimeout)
	if c.headBytes > 0 {
		deadline = c.headBegan.Add(limits.HeadTimeout)
	}
	_ = c.Conn.SetReadDeadline(deadline) // an error shows in the read
	if c.ending.Load() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// refuse answers instead of the server and returns the error of the read.
func (c *conn) refuse(reason, answer string) error {
	c.guard.OnRefused(c.address, reason)
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime)) // an error shows in the write
	if _, err := io.WriteString(c.Conn, answer); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes) // what it sends does not matter
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}
