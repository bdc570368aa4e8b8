package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// bufferSize is the size in bytes of what is forwarded at once.
const bufferSize = 32 << 10

// dialTimeout bounds the connecting to the target.
const dialTimeout = 2 * time.Second

// Faults are the faults of a link. The zero value has none.
type Faults struct {
	// DropToTarget drops what is sent towards the target.
	DropToTarget bool
	// DropFromTarget drops what the target sends.
	DropFromTarget bool
	// Frozen holds data in both directions, and new connections, until the
	// link is unfrozen.
	Frozen bool
	// Delay is how late data arrives in each direction. Delay ≥ 0.
	Delay time.Duration
}

// cut reports whether data in the direction is dropped.
func (f Faults) cut(back bool) bool {
	if back {
		return f.DropFromTarget
	}
	return f.DropToTarget
}

// Relay forwards the connections that it accepts to its target. It is safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	wait     sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	target  string
	faults  Faults
	changed chan struct{} // closed and replaced whenever faults change
	links   map[*link]struct{}
	closed  bool
}

// New returns a relay that listens on address, an IP number and a port; port 0
// takes any free one. Until Retarget is called it ends all connections.
func New(address string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "relay: listen")
	}
	r := &Relay{listener: listener, changed: make(chan struct{}), links: make(map[*link]struct{})}
	r.wait.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// SetFaults replaces the faults of the link. Connections that lost data end as
// soon as nothing is cut.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	close(r.changed)
	r.changed = make(chan struct{})
	if f.DropToTarget || f.DropFromTarget {
		return
	}
	for l := range r.links {
		if l.dropped.Load() {
			l.end()
		}
	}
}

// CloseConnections ends all connections that are open.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.end()
	}
}

// Close stops listening and ends all connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for l := range r.links {
		l.end()
	}
	r.mu.Unlock()
	r.wait.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		l := &link{relay: r, near: near, over: make(chan struct{})}
		if !r.add(l) {
			_ = near.Close()
			return
		}
		r.wait.Go(l.run)
	}
}

// add reports false if the relay is closed.
func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) state() (f Faults, target string, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.target, r.changed
}

// link is one connection with its counterpart at the target.
type link struct {
	relay *Relay
	near  net.Conn
	once  sync.Once
	over  chan struct{} // closed when the link ends
	// dropped says whether a cut dropped data, or the end of a direction.
	dropped atomic.Bool

	mu  sync.Mutex // guards far until it is set
	far net.Conn
}

// run forwards both directions until either ends.
func (l *link) run() {
	defer l.relay.remove(l)
	defer l.end()
	if _, ok := l.unfrozen(); !ok {
		return
	}
	_, target, _ := l.relay.state()
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.far = far
	l.mu.Unlock()
	select {
	case <-l.over: // ended before far was set
		_ = far.Close()
		return
	default:
	}
	var wait sync.WaitGroup
	wait.Go(func() { l.forward(far, l.near, false) })
	wait.Go(func() { l.forward(l.near, far, true) })
	wait.Wait()
}

// end ends the link at once.
func (l *link) end() {
	l.once.Do(func() {
		close(l.over)
		_ = l.near.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.far != nil {
			_ = l.far.Close()
		}
	})
}

// forward copies one direction until it ends. Once it has lost data nothing more
// arrives, and an end that a cut hides from the other side is not passed on.
func (l *link) forward(to, from net.Conn, back bool) {
	buffer := make([]byte, bufferSize)
	dropped := false
	for {
		n, err := from.Read(buffer)
		faults, ok := l.unfrozen()
		if !ok {
			return
		}
		dropped = dropped || faults.cut(back)
		switch {
		case dropped:
			l.drop()
		case !l.pause(faults.Delay):
			return
		default:
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if dropped {
			<-l.over
			return
		}
		l.end()
		return
	}
}

// drop notes that data was lost, and ends the link if the cut has been lifted.
func (l *link) drop() {
	l.dropped.Store(true)
	if faults, _, _ := l.relay.state(); !faults.DropToTarget && !faults.DropFromTarget {
		l.end()
	}
}

// unfrozen waits until the link is not frozen and returns its faults. It
// reports false if the link has ended.
func (l *link) unfrozen() (Faults, bool) {
	for {
		faults, _, changed := l.relay.state()
		if !faults.Frozen {
			return faults, true
		}
		select {
		case <-changed:
		case <-l.over:
			return faults, false
		}
	}
}

// pause waits, and reports false if the link ends.
func (l *link) pause(wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.over:
		return false
	}
}
