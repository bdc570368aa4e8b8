package lab

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"acaciapath.example/standin/loopback"
)

// Times of a link, as of TCP on Linux.
const (
	// firstRetransmission is the time after which bytes that were not acknowledged are sent again
	// (the least retransmission timeout). It doubles with each further time.
	firstRetransmission = 200 * time.Millisecond
	// maxRetransmission bounds it.
	maxRetransmission = 120 * time.Second
)

// Link is the way from one machine to an address, which can be cut silently. While it is cut, bytes stay
// under way: the sender's system sends them again and again, at growing intervals, also once the program
// has closed the channel. They are lost if the program resets it. Channels that are opened while the link
// is cut carry nothing.
type Link struct {
	lab      *Lab
	listener net.Listener
	target   string

	mu sync.Mutex // guards the fields below
	// healed is closed when the link is not cut.
	healed   chan struct{}
	healedAt time.Time
}

// NewLink returns a link to an address.
func (l *Lab) NewLink(target string) *Link {
	listener, err := loopback.Listen()
	if err != nil {
		l.Fail("link: %v", err)
	}
	k := &Link{lab: l, listener: listener, target: target, healed: make(chan struct{})}
	close(k.healed)
	go k.accept()
	return k
}

// Address returns the IP address and port of the link.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Cut cuts the link.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

// Heal ends the cut.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healedAt = time.Now()
	close(k.healed)
}

// state returns a channel that is closed when the link is not cut, and when it healed last.
func (k *Link) state() (healed chan struct{}, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.healed, k.healedAt
}

// isCut reports whether the link is cut.
func (k *Link) isCut() bool {
	healed, _ := k.state()
	select {
	case <-healed:
		return false
	default:
		return true
	}
}

// accept accepts channels.
func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.carry(c.(*net.TCPConn))
	}
}

// carry carries one channel.
func (k *Link) carry(from *net.TCPConn) {
	if k.isCut() {
		// The opening packet is lost. What the program writes reaches nobody.
		_, _ = io.Copy(io.Discard, from) // ends when the program gives up
		_ = from.Close()
		return
	}
	c, err := net.Dial("tcp4", k.target)
	if err != nil {
		_ = from.Close()
		return
	}
	to := c.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { k.pump(to, from) })
	both.Go(func() { k.pump(from, to) })
	both.Wait()
	_ = from.Close() // both directions have ended
	_ = to.Close()
}

// packet is what was read at a time.
type packet struct {
	data []byte
	at   time.Time
	// end is how the channel ended, or nil.
	end error
}

// pump carries one direction.
func (k *Link) pump(to, from *net.TCPConn) {
	packets := make(chan packet, 1<<12)
	reset := make(chan struct{})
	go func() {
		defer close(packets)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if errors.Is(err, syscall.ECONNRESET) {
				close(reset)
			}
			packets <- packet{data: buffer[:n], at: time.Now(), end: err}
			if err != nil {
				return
			}
		}
	}()
	for p := range packets {
		if !k.await(p.at, reset) {
			_ = to.SetLinger(0) // the reset arrives as one
			_ = to.Close()
			return
		}
		if _, err := to.Write(p.data); err != nil {
			return
		}
		if p.end != nil {
			_ = to.CloseWrite() // the other end may have gone
			return
		}
	}
}

// await waits until bytes that were sent at a time arrive. It returns false if they are lost.
func (k *Link) await(sent time.Time, reset <-chan struct{}) bool {
	healed, _ := k.state()
	select {
	case <-healed:
		return true
	default:
	}
	select {
	case <-reset:
		return false
	case <-healed:
	}
	_, at := k.state()
	next, wait := sent, firstRetransmission
	for next.Before(at) {
		next = next.Add(wait)
		wait = min(2*wait, maxRetransmission)
	}
	select {
	case <-reset:
		return false
	case <-time.After(time.Until(next)):
		return true
	}
}
