package forwarding_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/acaciad/forwarding"
	reach "acaciapath.example/core/forwarding"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Modes of a link.
const (
	linkOpen = iota
	// linkDrops loses all packets of new and old connections.
	linkDrops
	// linkSilent is the same, but the system still accepts connections.
	linkSilent
	// linkRefuses refuses new connections and resets old ones.
	linkRefuses
	// linkResets accepts new connections and resets them, and old ones.
	linkResets
	// linkRefusesNew refuses new connections, and old ones live on.
	linkRefusesNew
)

// link is the path from one daemon to a few backend servers, each of which waits for
// delay before it answers.
type link struct {
	*qt.C
	mode    atomic.Int32
	dials   atomic.Int64
	delay   atomic.Int64
	servers []reach.Target
	monitor *forwarding.Monitor

	mu   sync.Mutex
	open map[*linkConnection]bool
}

// newLink starts n backend servers in three failure domains and a monitor of the link to
// them.
func newLink(t *testing.T, n int) *link {
	l := &link{C: qt.New(t), open: make(map[*linkConnection]bool)}
	for i := range n {
		server := loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/probe" {
				select {
				case <-time.After(time.Duration(l.delay.Load())):
				case <-r.Context().Done():
				}
			}
			_, _ = io.WriteString(w, "answer")
		}))
		l.Cleanup(server.Close)
		l.servers = append(l.servers, reach.Target{
			Name: fmt.Sprintf("s%d", i), Address: server.Listener.Addr().String(),
			FailureDomain: string(rune('a' + i%3)), Service: "main",
		})
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	l.monitor = forwarding.NewMonitor(l.dial, func() []reach.Target { return l.servers }, logger, prometheus.NewRegistry(), rand.New(rand.NewPCG(1, 2)))
	l.monitor.ProbeRequest = func(address string) []byte {
		return []byte("GET /probe HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n")
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		l.monitor.Run(ctx)
		close(ended)
	}()
	l.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			l.Error("Run does not return")
		}
	})
	return l
}

// set changes the mode of the link.
func (l *link) set(mode int32) {
	l.mode.Store(mode)
	if mode != linkRefuses && mode != linkResets {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.reset()
	}
}

// dial opens a connection as the mode of the link has it.
func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.dials.Add(1)
	switch l.mode.Load() {
	case linkDrops:
		ctx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
	case linkRefuses, linkRefusesNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConnection{Conn: connection, link: l, resetted: make(chan struct{})}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	if l.mode.Load() == linkResets {
		c.reset()
	}
	return c, nil
}

// linkConnection is a connection on a link.
type linkConnection struct {
	net.Conn
	link     *link
	once     sync.Once
	resetted chan struct{}
	deadline atomic.Pointer[time.Time]
}

// reset ends the connection.
func (c *linkConnection) reset() { c.once.Do(func() { close(c.resetted); c.Conn.Close() }) }

// SetDeadline implements net.Conn.
func (c *linkConnection) SetDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn.
func (c *linkConnection) Close() error {
	c.link.mu.Lock()
	delete(c.link.open, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *linkConnection) Write(b []byte) (int, error) {
	if mode := c.link.mode.Load(); mode == linkDrops || mode == linkSilent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *linkConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.resetted:
		return 0, syscall.ECONNRESET
	default:
	}
	for mode := c.link.mode.Load(); n > 0 && (mode == linkDrops || mode == linkSilent); mode = c.link.mode.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	return n, err
}

// serve sends requests to the backend servers until ctx is done, each on a new
// connection if reuse is not set.
func (l *link) serve(ctx context.Context, reuse bool) *sync.WaitGroup {
	transport := &http.Transport{DialContext: l.monitor.Dial, DisableKeepAlives: !reuse}
	var requests sync.WaitGroup
	requests.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			if l.monitor.State() != reach.CutOff {
				requests.Go(func() { l.request(ctx, transport, l.servers[i%len(l.servers)].Address) })
			}
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return &requests
}

// request sends a request to the backend server at an address.
func (l *link) request(ctx context.Context, transport *http.Transport, address string) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	end := l.monitor.Begin()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/work", nil)
	if err != nil {
		l.Error(err)
		return
	}
	response, err := transport.RoundTrip(request)
	end(err == nil)
	if err != nil {
		if ctx.Err() == nil {
			l.monitor.Lost(address, true)
		}
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

// await waits until the monitor has a state.
func (l *link) await(state reach.State, limit time.Duration) time.Duration {
	l.Helper()
	began := time.Now()
	for l.monitor.State() != state {
		l.Assert(time.Since(began) < limit, qt.IsTrue, qt.Commentf("not %s after %s", state, limit))
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// TestCutIsSeen has each kind of cut begin and end while requests are sent. A cut in which
// connections hang must end what Hanging returned before, and no other cut may.
func TestCutIsSeen(t *testing.T) {
	for _, test := range []struct {
		name  string
		mode  int32
		hangs bool
	}{
		{"drops", linkDrops, true},
		{"silent", linkSilent, true},
		{"refuses", linkRefuses, false},
		{"resets", linkResets, false},
		{"refuses-new", linkRefusesNew, false},
	} {
		for _, reuse := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s-reuse-%t", test.name, reuse), func(t *testing.T) {
				t.Parallel()
				l := newLink(t, 12)
				ctx, cancel := context.WithCancel(context.Background())
				requests := l.serve(ctx, reuse)
				defer requests.Wait()
				defer cancel()
				time.Sleep(300 * time.Millisecond)
				l.Assert(l.monitor.State(), qt.Equals, reach.Direct)
				hanging := l.monitor.Hanging()
				if reuse && test.mode == linkRefusesNew {
					return // nothing fails
				}
				l.set(test.mode)
				took := l.await(reach.CutOff, 10*time.Second)
				l.Logf("cut off after %s, %d connections", took, l.dials.Load())
				l.Assert(hanging.Err() != nil, qt.Equals, test.hangs)
				l.Assert(l.monitor.Await(ctx), qt.Equals, reach.CutOff)
				l.set(linkOpen)
				took = l.await(reach.Direct, 10*time.Second)
				l.Logf("direct after %s", took)
				l.Assert(l.monitor.Hanging().Err(), qt.IsNil)
			})
		}
	}
}

// TestSlowServersAreNotCutOff has all requests wait for longer than the monitor takes for
// silence. A few probes must show that the own path works.
func TestSlowServersAreNotCutOff(t *testing.T) {
	l := newLink(t, 6)
	l.delay.Store(int64(1500 * time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{DialContext: l.monitor.Dial}
	var requests sync.WaitGroup
	for _, s := range l.servers {
		requests.Go(func() { l.request(ctx, transport, s.Address) })
	}
	for end := time.Now().Add(1400 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		l.Check(l.monitor.State(), qt.Not(qt.Equals), reach.CutOff)
	}
	requests.Wait()
	cancel()
	probes := l.dials.Load() - int64(len(l.servers))
	l.Logf("%d probes", probes)
	l.Assert(probes > 0 && probes <= 10, qt.IsTrue, qt.Commentf("%d probes", probes))
}

// TestOrdinaryRequestsStartNoProbes has some requests wait for long beside others that are
// answered at once.
func TestOrdinaryRequestsStartNoProbes(t *testing.T) {
	l := newLink(t, 6)
	ctx, cancel := context.WithCancel(context.Background())
	end := l.monitor.Begin() // waits all the time
	requests := l.serve(ctx, true)
	time.Sleep(1200 * time.Millisecond)
	end(true)
	cancel()
	requests.Wait()
	l.Assert(l.dials.Load() <= 12, qt.IsTrue, qt.Commentf("%d connections", l.dials.Load()))
}

// TestErrorsOfThisVMAreNoEvidence has connections fail for want of file descriptors.
func TestErrorsOfThisVMAreNoEvidence(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	targets := []reach.Target{{Name: "s", Address: "127.0.0.1:1", FailureDomain: "a"}}
	fail := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.EMFILE }
	m := forwarding.NewMonitor(fail, func() []reach.Target { return targets }, logger, prometheus.NewRegistry(), rand.New(rand.NewPCG(1, 2)))
	for range 10 {
		_, err := m.Dial(context.Background(), "tcp", "127.0.0.1:1")
		qt.Assert(t, errors.Is(err, syscall.EMFILE), qt.IsTrue)
	}
	qt.Assert(t, m.State(), qt.Equals, reach.Direct)
}
