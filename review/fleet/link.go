package fleet

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is a proxy between a process and a target, which can be cut silently: no byte
// passes in either direction, and channels hang.
type Link struct {
	Address string

	target string

	mu   sync.Mutex
	cut  bool
	open chan struct{} // closed while the link is not cut
	// generation counts the calls of Lose.
	generation int
}

// NewLink starts a link to a target.
func NewLink(run *Run, target string) *Link {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		run.Impossible("listen: %v", err)
	}
	l := &Link{Address: listener.Addr().String(), target: target, open: make(chan struct{})}
	close(l.open)
	run.OnEnd(func() { _ = listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(from)
		}
	}()
	return l
}

// Cut cuts the link.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.cut, l.open = true, make(chan struct{})
	}
}

// Heal ends the cut. Bytes that were held up are passed on.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		l.cut = false
		close(l.open)
	}
}

// Lose has the target lose power: bytes that are held up are lost, and channels are reset once
// the link is not cut.
func (l *Link) Lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
}

// state returns the generation of channels that are opened now.
func (l *Link) state() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}

// wait waits until the link is not cut, and reports whether a channel of a generation is
// still open then.
func (l *Link) wait(generation int) bool {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
	return l.state() == generation
}

func (l *Link) pass(from net.Conn) {
	defer from.Close()
	generation := l.state()
	if !l.wait(generation) {
		return
	}
	to, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	go l.copy(to, from, generation, done)
	go l.copy(from, to, generation, done)
	<-done
}

// copy passes bytes on in one direction until it ends.
func (l *Link) copy(to, from net.Conn, generation int, done chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.wait(generation) {
			n, err = 0, io.ErrUnexpectedEOF
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			done <- struct{}{}
			return
		}
	}
}
