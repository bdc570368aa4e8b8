package connections_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/core/connections"
	"acaciapath.example/core/memory"

	qt "github.com/frankban/quicktest"
)

// guardedServer is a server that answers "answer" within limits.
type guardedServer struct {
	*qt.C
	guard   *connections.Guard
	budget  *memory.Budget
	address string

	mu      sync.Mutex // guards reasons
	reasons []string
}

// newGuardedServer starts a server.
func newGuardedServer(t *testing.T, limits connections.Limits) *guardedServer {
	s := &guardedServer{C: qt.New(t), budget: memory.NewBudget(1 << 20)}
	s.guard = connections.NewGuard(s.budget, limits, func(_, reason string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reasons = append(s.reasons, reason)
	})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &memory.Body{Budget: s.budget, Holder: "body", MaxWait: waitLimit}
		defer body.Release()
		if err := connections.ReadBody(w, r, body, 1<<10, time.Now().Add(waitLimit)); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		_, _ = io.WriteString(w, "answer")
	})}
	s.guard.Protect(server)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	s.address = listener.Addr().String()
	ended := make(chan error)
	go func() { ended <- server.Serve(s.guard.Listen(listener)) }()
	s.Cleanup(func() {
		_ = server.Close()
		s.Check(<-ended, qt.Equals, http.ErrServerClosed)
	})
	return s
}

// dial opens a connection.
func (s *guardedServer) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp4", s.address)
	s.Assert(err, qt.IsNil)
	s.Cleanup(func() { _ = c.Close() })
	s.Assert(c.SetDeadline(time.Now().Add(waitLimit)), qt.IsNil)
	return c, bufio.NewReader(c)
}

// exchange sends a request with a header of the given length, and returns the status of the answer,
// or 0 if the connection ended without one.
func exchange(c net.Conn, r *bufio.Reader, header int) int {
	_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", header))
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// lastReason returns the reason of the last refusal.
func (s *guardedServer) lastReason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reasons) == 0 {
		return ""
	}
	return s.reasons[len(s.reasons)-1]
}

var guardLimits = connections.Limits{HeadBytes: 16 << 10, HeadTimeout: waitLimit, IdleTimeout: waitLimit, Connections: 3}

// TestHeads checks that heads within the limit are served, again and again on one connection, that
// a longer one is refused, and that all memory is given back.
func TestHeads(t *testing.T) {
	s := newGuardedServer(t, guardLimits)
	c, r := s.dial()
	for range 5 {
		s.Check(exchange(c, r, 15<<10), qt.Equals, http.StatusOK)
	}
	s.Check(exchange(c, r, 40<<10), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	s.Check(s.lastReason(), qt.Equals, connections.ReasonHeadTooLarge)
	_ = c.Close()
	for end := time.Now().Add(waitLimit); s.budget.Used() != 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.Check(s.budget.Used(), qt.Equals, int64(0))
}

// TestHeadsWithoutMemory checks that a head for which there is no memory is refused.
func TestHeadsWithoutMemory(t *testing.T) {
	s := newGuardedServer(t, guardLimits)
	s.Assert(s.budget.Reserve("127.0.0.1", 680<<10), qt.IsTrue)
	c, r := s.dial()
	s.Check(exchange(c, r, 15<<10), qt.Equals, http.StatusServiceUnavailable)
	s.Check(s.lastReason(), qt.Equals, connections.ReasonMemory)
}

// TestSlowHeads checks that a connection whose head does not end is closed, and an idle one too.
func TestSlowHeads(t *testing.T) {
	limits := guardLimits
	limits.HeadTimeout, limits.IdleTimeout = 50*time.Millisecond, 100*time.Millisecond
	s := newGuardedServer(t, limits)
	slow, slowReader := s.dial()
	_, err := io.WriteString(slow, "GET / HT")
	s.Assert(err, qt.IsNil)
	_, err = slowReader.ReadByte()
	s.Check(err, qt.Equals, io.EOF)
	s.Check(s.lastReason(), qt.Equals, connections.ReasonHeadTooSlow)
	idle, idleReader := s.dial()
	s.Check(exchange(idle, idleReader, 1), qt.Equals, http.StatusOK)
	_, err = idleReader.ReadByte()
	s.Check(err, qt.Equals, io.EOF)
}

// TestOldestIdleConnectionMakesRoom opens more connections than are allowed: the one that has been
// idle longest must be closed, and the others must be served.
func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	s := newGuardedServer(t, guardLimits)
	type client struct {
		net.Conn
		*bufio.Reader
	}
	var clients []client
	for range 4 {
		c, r := s.dial()
		s.Assert(exchange(c, r, 1), qt.Equals, http.StatusOK)
		clients = append(clients, client{c, r})
	}
	s.Check(exchange(clients[0].Conn, clients[0].Reader, 1), qt.Equals, 0)
	s.Check(s.lastReason(), qt.Equals, connections.ReasonConnections)
	for _, c := range clients[1:] {
		s.Check(exchange(c.Conn, c.Reader, 1), qt.Equals, http.StatusOK)
	}
}

// TestUnfinishedBodyMakesRoom has bodies that stand still take all connections. Others were closed unread
// until the bodies were too slow, ten seconds later (review/14, RECOVER). The one that stood still longest must be
// told that its request was not run, and one that goes on must be served.
func TestUnfinishedBodyMakesRoom(t *testing.T) {
	s := newGuardedServer(t, guardLimits)
	type client struct {
		net.Conn
		*bufio.Reader
	}
	var clients []client
	for range 3 {
		c, r := s.dial()
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab")
		s.Assert(err, qt.IsNil)
		clients = append(clients, client{c, r})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	_, err := io.WriteString(clients[0], "c") // the second one stands still longest now
	s.Assert(err, qt.IsNil)
	time.Sleep(20 * time.Millisecond)
	c, r := s.dial()
	s.Check(exchange(c, r, 1), qt.Equals, http.StatusOK)
	s.Check(s.lastReason(), qt.Equals, connections.ReasonConnections)
	response, err := http.ReadResponse(clients[1].Reader, nil)
	s.Assert(err, qt.IsNil)
	s.Check(response.StatusCode, qt.Equals, http.StatusRequestTimeout)
	for i, rest := range map[int]string{0: "d\r\n0\r\n\r\n", 2: "cd\r\n0\r\n\r\n"} {
		_, err = io.WriteString(clients[i], rest)
		s.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(clients[i].Reader, nil)
		s.Assert(err, qt.IsNil)
		s.Check(response.StatusCode, qt.Equals, http.StatusOK)
	}
}

// TestPace checks when a body is too slow.
func TestPace(t *testing.T) {
	c := qt.New(t)
	pace := connections.Pace{Grace: 10 * time.Second, BytesPerSecond: 1000}
	began := time.Unix(1000, 0)
	c.Check(pace.Deadline(began, 0, began), qt.Equals, began.Add(10*time.Second))
	c.Check(pace.Deadline(began, 0, began.Add(3*time.Second)), qt.Equals, began.Add(10*time.Second))
	c.Check(pace.Deadline(began, 2000, began.Add(9*time.Second)), qt.Equals, began.Add(12*time.Second))
	c.Check(pace.Deadline(began, 1<<20, began.Add(time.Second)), qt.Equals, began.Add(11*time.Second))
}
