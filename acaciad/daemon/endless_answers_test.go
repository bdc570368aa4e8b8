package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// smallestMemory is the memory of the smallest VM. A process that exceeds it is killed.
const smallestMemory = 184 << 20

// startEndlessServer starts a backend server that sends a prefix in answer to each request, and
// then bytes without end until the connection is closed. It returns its address.
func startEndlessServer(c *qt.C, prefix, repeat string) string {
	listener, err := loopback.Listen()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	serve := func(connection net.Conn) {
		defer connection.Close()
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		for send := strings.ReplaceAll(prefix, "ID", request.Header.Get("X-Attempt-Id")); err == nil; send = repeat {
			_, err = io.WriteString(connection, send)
		}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return listener.Addr().String()
}

// peakMemory returns the largest memory that a process has had, in bytes.
func peakMemory(c *qt.C, pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	c.Assert(err, qt.IsNil, qt.Commentf("the process has ended"))
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			c.Assert(err, qt.IsNil)
			return kilobytes << 10
		}
	}
	c.Fatal("the status of the process has no VmHWM")
	return 0
}

// TestOtherCallersBesideEndlessAnswers has a backend server send bytes without end, in a head or
// a body, to many requests at once. The daemon's process must stay within the memory of the
// smallest VM, unless it runs with the race detector, and serve the requests for another service
// meanwhile (LOST).
func TestOtherCallersBesideEndlessAnswers(t *testing.T) {
	const callers, rounds = 100, 2
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: " + platformtest.Signature + "\r\n"
	events := head + "Content-Type: text/event-stream\r\n"
	for _, test := range []struct{ name, prefix, repeat string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", head + "X-Long: ", "x"},
		{"headers", head, "X-More: 1\r\n"},
		{"chunk extension", events + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		{"event", events + "\r\nid: 1\ndata: ", "x"},
		{"lines of an event", events + "\r\nid: 1\n", "data: x\n"},
		{"event in chunks", events + "Transfer-Encoding: chunked\r\n\r\n", "8\r\ndata: x\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newVersionedFleet(t)
			look := map[string]any{"name": "look", "host": "shop.example", "prefix": "/look/", "type": "safe", "timeoutMs": 5000, "targetLatencyMs": 400, "service": "shop", "maxAttempts": 2}
			f.writeConfig(3, askRoute(), look)
			f.registerShop("ready")
			f.store.Write("servers", "e-1", map[string]any{
				"service": "llm", "address": startEndlessServer(f.C, test.prefix, strings.Repeat(test.repeat, 2048)), "zone": "z", "version": "v1",
				"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			s := f.newSettings("vm-1", "")
			s.MemoryBytes = smallestMemory
			r, pid := f.startProcessWith(s)
			f.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
			var group sync.WaitGroup
			for i := range callers {
				group.Go(func() {
					for round := range rounds {
						stream := &callerStream{versions: make(map[string]bool)}
						stream.receiveWithin(r, fmt.Sprintf("%x-%d-%d", i%16, i, round), streamEvents, time.Second)
						f.Check(stream.events, qt.Equals, 0)
					}
				})
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				group.Wait()
			}()
			for running := true; running; time.Sleep(20 * time.Millisecond) {
				f.Check(r.lookStatus("k"), qt.Equals, http.StatusOK)
				select {
				case <-done:
					running = false
				default:
				}
			}
			peak := peakMemory(f.C, pid)
			f.Check(raceDetector || peak < smallestMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
			f.Logf("%d MB at most", peak>>20)
		})
	}
}
