package link

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// connectTimeout bounds the time for which a connection is tried while the link hangs.
const connectTimeout = 250 * time.Millisecond

// resetDelay is the time after which the network resets a connection that it accepted in
// place of the server, if the client sends nothing before.
const resetDelay = 2 * time.Millisecond

// Cut is the way in which a link is cut.
type Cut int

const (
	// None cuts nothing.
	None Cut = iota
	// Hang loses all data of open connections in both directions. New connections time
	// out. When the link is restored, connections that lost data are reset and the others
	// live on.
	Hang
	// Reset resets open connections and refuses new ones.
	Reset
	// ResetAccepted resets open connections. New ones are accepted and soon reset, before
	// they reach the server.
	ResetAccepted
	// ResetAtFirstByte resets open connections. New ones are accepted and reset when the
	// client sends data, before they reach the server.
	ResetAtFirstByte
	// Refuse refuses new connections. Open ones live on.
	Refuse
)

// resets reports whether the cut resets open connections.
func (c Cut) resets() bool { return c == Reset || c == ResetAccepted || c == ResetAtFirstByte }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Link opens connections that it can cut. It is safe for concurrent use.
type Link struct {
	dial DialFunc

	mu  sync.Mutex // guards the fields below
	cut Cut
	// servers has the addresses to which the link is cut, or is nil if it is cut to all.
	servers map[string]bool
	// silentUntil is when the silence ends, or zero.
	silentUntil time.Time
	// changed is closed and replaced by each change of the fields above.
	changed chan struct{}
	// dials has the number of attempts to open a connection, by address.
	dials map[string]int

	// connections has the open connections, each a *conn.
	connections sync.Map
}

// New returns a sound link whose connections are opened by dial.
func New(dial DialFunc) *Link {
	return &Link{dial: dial, changed: make(chan struct{}), dials: make(map[string]int)}
}

// SetCut cuts the link, or restores it if cut is None.
func (l *Link) SetCut(cut Cut) { l.setCut(cut, nil) }

// SetCutTo cuts the link to the servers at the given addresses only.
func (l *Link) SetCutTo(cut Cut, addresses ...string) {
	servers := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		servers[a] = true
	}
	l.setCut(cut, servers)
}

func (l *Link) setCut(cut Cut, servers map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.servers = cut, servers
	l.wake()
	l.connections.Range(func(key, _ any) bool {
		c := key.(*conn)
		if current := l.cutTo(c.address); current.resets() || current != Hang && c.hasLost() {
			c.reset()
		}
		return true
	})
}

// cutTo returns the cut of the link to the server at an address. l.mu must be held.
func (l *Link) cutTo(address string) Cut {
	if l.servers != nil && !l.servers[address] {
		return None
	}
	return l.cut
}

// Silence holds back all data that servers send for a time, and then delivers it. Servers
// still receive data and accept connections.
func (l *Link) Silence(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentUntil = time.Now().Add(d)
	l.wake()
}

// Dials returns the number of attempts to open a connection, by address.
func (l *Link) Dials() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.dials))
	for address, n := range l.dials {
		counts[address] = n
	}
	return counts
}

// wake wakes those who wait for a change. l.mu must be held.
func (l *Link) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// state returns the cut of the link to the server at an address, the end of the silence, and the
// channel closed at the next change.
func (l *Link) state(address string) (cut Cut, silentUntil time.Time, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutTo(address), l.silentUntil, l.changed
}

// Dial opens a connection. It fails as the operating system does if the link is cut.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	l.dials[address]++
	cut := l.cutTo(address)
	l.mu.Unlock()
	switch cut {
	case Hang:
		timer := time.NewTimer(connectTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, dialError(network, ctx.Err())
		case <-timer.C:
			return nil, dialError(network, os.ErrDeadlineExceeded)
		}
	case Reset, Refuse:
		return nil, dialError(network, os.NewSyscallError("connect", syscall.ECONNREFUSED))
	case ResetAccepted, ResetAtFirstByte:
		return l.accept(cut, address)
	}
	opened, err := l.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.add(newConn(l, opened, address)), nil
}

// accept returns a connection that reaches no server.
func (l *Link) accept(cut Cut, address string) (net.Conn, error) {
	remote, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, dialError("tcp", err)
	}
	client, network := net.Pipe()
	c := newConn(l, client, address)
	c.accepted = remote
	if cut == ResetAccepted {
		time.AfterFunc(resetDelay, c.reset)
	}
	go func() {
		<-c.done
		_ = network.Close() // a pipe's end, which cannot fail
	}()
	return l.add(c), nil
}

// add registers a connection to a server, which is reset if the link was cut meanwhile.
func (l *Link) add(c *conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections.Store(c, nil)
	if c.accepted == nil && l.cutTo(c.address).resets() {
		c.reset()
	}
	return c
}

func dialError(network string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Err: err}
}
