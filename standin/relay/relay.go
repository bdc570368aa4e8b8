package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// bufferSize is the size in bytes of the buffer of each direction.
const bufferSize = 32 << 10

// dialTimeout is the timeout for connecting to the target.
const dialTimeout = 2 * time.Second

// Faults are the network faults of a Relay. The zero value has none.
type Faults struct {
	// DropToTarget makes the relay drop data sent to the target.
	DropToTarget bool
	// DropFromTarget makes the relay drop data sent by the target.
	DropFromTarget bool
	// Frozen makes the relay hold back data in both directions, and new
	// connections, until it is unfrozen.
	Frozen bool
	// Delay is the time by which data is delayed in each direction. Delay ≥ 0.
	Delay time.Duration
}

// drops reports whether data is dropped in the direction from or to the target.
func (f Faults) drops(fromTarget bool) bool {
	if fromTarget {
		return f.DropFromTarget
	}
	return f.DropToTarget
}

// Relay forwards the connections that it accepts to its target. It is safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	target  string
	faults  Faults
	changed chan struct{} // closed and replaced by SetFaults
	blocked func(client net.Addr) bool
	pairs   map[*connPair]struct{}
	closed  bool
}

// New returns a relay that listens on address, an IP address and port. Port 0
// selects a free port. The relay closes all connections until SetTarget is called.
func New(address string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "relay: listen")
	}
	r := &Relay{listener: listener, changed: make(chan struct{}), pairs: make(map[*connPair]struct{})}
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded. Existing
// connections are not affected.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// SetFaults replaces the faults. When the new faults drop no data, connections
// that lost data are closed.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	close(r.changed)
	r.changed = make(chan struct{})
	if f.DropToTarget || f.DropFromTarget {
		return
	}
	for p := range r.pairs {
		if p.dropped.Load() {
			p.closeBoth()
		}
	}
}

// SetBlocked sets which clients are cut off from the target, or none if blocked is nil. Their open
// connections are reset, and so are new ones after they were accepted.
func (r *Relay) SetBlocked(blocked func(client net.Addr) bool) {
	r.mu.Lock()
	r.blocked = blocked
	var pairs []*connPair
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	r.mu.Unlock()
	for _, p := range pairs {
		p.resetIfBlocked(blocked)
	}
}

// CloseConnections closes all open connections. The relay keeps listening.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.closeBoth()
	}
}

// Close stops listening and closes all connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for p := range r.pairs {
		p.closeBoth()
	}
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		clientConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		p := &connPair{relay: r, clientConn: clientConn, done: make(chan struct{})}
		if !r.add(p) {
			_ = clientConn.Close()
			return
		}
		r.wg.Go(p.run)
	}
}

// add registers a connection. It reports false if the relay is closed.
func (r *Relay) add(p *connPair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.pairs[p] = struct{}{}
	return true
}

func (r *Relay) remove(p *connPair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

func (r *Relay) state() (f Faults, target string, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.target, r.changed
}

// connPair is an accepted connection and the corresponding connection to the
// target.
type connPair struct {
	relay      *Relay
	clientConn net.Conn
	closeOnce  sync.Once
	done       chan struct{} // closed by closeBoth
	// dropped reports whether data, or the end of a stream, was dropped.
	dropped atomic.Bool

	mu         sync.Mutex // guards targetConn, which run sets
	targetConn net.Conn
}

// run connects to the target and forwards data in both directions until either
// connection ends.
func (p *connPair) run() {
	defer p.relay.remove(p)
	defer p.closeBoth()
	if _, ok := p.awaitUnfrozen(); !ok {
		return
	}
	p.relay.mu.Lock()
	blocked := p.relay.blocked
	p.relay.mu.Unlock()
	if p.resetIfBlocked(blocked) {
		return
	}
	_, target, _ := p.relay.state()
	targetConn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.targetConn = targetConn
	p.mu.Unlock()
	select {
	case <-p.done: // closed before targetConn was set
		_ = targetConn.Close()
		return
	default:
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(targetConn, p.clientConn, false) })
	wg.Go(func() { p.forward(p.clientConn, targetConn, true) })
	wg.Wait()
}

// resetIfBlocked resets the connections if the client is cut off, and reports whether it is.
func (p *connPair) resetIfBlocked(blocked func(client net.Addr) bool) bool {
	if blocked == nil || !blocked(p.clientConn.RemoteAddr()) {
		return false
	}
	if tcp, ok := p.clientConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may have ended
	}
	p.closeBoth()
	return true
}

// closeBoth closes both connections immediately.
func (p *connPair) closeBoth() {
	p.closeOnce.Do(func() {
		close(p.done)
		_ = p.clientConn.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.targetConn != nil {
			_ = p.targetConn.Close()
		}
	})
}

// forward copies data in one direction until the connection ends. After data was
// dropped, nothing more is forwarded in this direction, and the end of the
// connection is not passed on either, because a partition would hide it from the
// other side.
func (p *connPair) forward(to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, bufferSize)
	dropped := false
	for {
		n, err := from.Read(buffer)
		faults, ok := p.awaitUnfrozen()
		if !ok {
			return
		}
		dropped = dropped || faults.drops(fromTarget)
		switch {
		case dropped:
			p.markDropped()
		case !p.sleep(faults.Delay):
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
			<-p.done
			return
		}
		p.closeBoth()
		return
	}
}

// markDropped records that data was lost, and closes the connections if the
// partition has already ended.
func (p *connPair) markDropped() {
	p.dropped.Store(true)
	if faults, _, _ := p.relay.state(); !faults.DropToTarget && !faults.DropFromTarget {
		p.closeBoth()
	}
}

// awaitUnfrozen waits until the relay is not frozen and returns its faults. It
// reports false if the connections are closed.
func (p *connPair) awaitUnfrozen() (Faults, bool) {
	for {
		faults, _, changed := p.relay.state()
		if !faults.Frozen {
			return faults, true
		}
		select {
		case <-changed:
		case <-p.done:
			return faults, false
		}
	}
}

// sleep waits for the duration. It reports false if the connections are closed
// first.
func (p *connPair) sleep(duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.done:
		return false
	}
}
