package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
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
	// connections, until it is unfrozen. A reset loses the data.
	Frozen bool
	// Lossy makes the relay hold back data in both directions as a link does that loses all
	// packets: it is sent again at doubling intervals, the first of which after the link is sound
	// again arrives, also if its sender has closed the connection since. A reset loses it.
	// Connections that are opened meanwhile carry nothing.
	Lossy bool
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

	mu     sync.Mutex // guards the fields below
	target string
	faults Faults
	// soundAt is when the link was last lossy.
	soundAt time.Time
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
	if r.faults.Lossy && !f.Lossy {
		r.soundAt = time.Now()
	}
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
	faults, ok := p.awaitUnfrozen()
	if !ok {
		return
	}
	if faults.Lossy {
		_, _ = io.Copy(io.Discard, p.clientConn) // until the client gives up
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

// chunk is what was read from a connection at a time.
type chunk struct {
	data []byte
	at   time.Time
	// err is the end of the connection, or nil.
	err error
}

// maxChunks is the number of chunks of each direction that wait to be forwarded.
const maxChunks = 16

// read reads from a connection until it ends, and closes reset if it was reset. The chunks are sent to
// the channel that it returns.
func (p *connPair) read(from net.Conn, reset chan<- struct{}) <-chan chunk {
	chunks := make(chan chunk, maxChunks)
	p.relay.wg.Go(func() {
		defer close(chunks)
		for {
			buffer := make([]byte, bufferSize)
			n, err := from.Read(buffer)
			if errors.Is(err, syscall.ECONNRESET) {
				close(reset)
			}
			select {
			case chunks <- chunk{buffer[:n], time.Now(), err}:
			case <-p.done:
				return
			}
			if err != nil {
				return
			}
		}
	})
	return chunks
}

// forward copies data in one direction until the connection ends. After data was
// dropped, nothing more is forwarded in this direction, and the end of the
// connection is not passed on either, because a partition would hide it from the
// other side.
func (p *connPair) forward(to, from net.Conn, fromTarget bool) {
	reset := make(chan struct{})
	dropped := false
	for c := range p.read(from, reset) {
		before, _, _ := p.relay.state()
		faults, ok := p.awaitUnfrozen()
		if !ok {
			return
		}
		if before.Frozen && isClosed(reset) || !p.awaitSound(c.at, reset) {
			p.closeBoth()
			return
		}
		err := c.err
		dropped = dropped || faults.drops(fromTarget)
		switch {
		case dropped:
			p.markDropped()
		case !p.sleep(faults.Delay):
			return
		default:
			if _, writeErr := to.Write(c.data); writeErr != nil {
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

// isClosed reports whether a channel without values is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// firstRetransmission is the time after which data that was not acknowledged is sent again, the
// least one of Linux. It doubles with each further time.
const firstRetransmission = 200 * time.Millisecond

// awaitSound waits until data that was sent at a time arrives, if the link is lossy. It reports false
// if it is lost.
func (p *connPair) awaitSound(sent time.Time, reset <-chan struct{}) bool {
	faults, _, changed := p.relay.state()
	if !faults.Lossy {
		return true
	}
	for faults.Lossy {
		select {
		case <-changed:
		case <-p.done:
			return false
		}
		faults, _, changed = p.relay.state()
	}
	p.relay.mu.Lock()
	soundAt := p.relay.soundAt
	p.relay.mu.Unlock()
	next := sent
	for wait := firstRetransmission; next.Before(soundAt); wait *= 2 {
		next = next.Add(wait)
	}
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-reset:
	case <-p.done:
	}
	return false
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
