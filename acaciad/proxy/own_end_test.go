package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestOwnEndOfAnswerIsNotComplete has the daemon itself end answers without a length: at the
// deadline of the caller, and when it shuts down. No part may look complete.
func TestOwnEndOfAnswerIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct{ path, service, contentType, part string }{
		"stream":           {"/quote/", "llm", "text/event-stream", events(1, 3)},
		"resumable stream": {"/reply/", "llm", "text/event-stream", events(1, 3)},
		"unsafe":           {"/order/", "shop", "text/plain", "0123"},
		"long":             {"/order/", "shop", "text/plain", strings.Repeat("0123456789abcdef", 1<<17)},
	} {
		for _, shutsDown := range []bool{true, false} {
			t.Run(name+"/"+map[bool]string{true: "shutdown", false: "deadline"}[shutsDown], func(t *testing.T) {
				f := newFixture(t, 2)
				ending, end := context.WithCancel(context.Background())
				f.Cleanup(end)
				f.handler.Ending = ending
				f.loadCatalog()
				s := f.startStopping(test.service, test.contentType, test.part)
				r := f.request(f.Context(), http.MethodPost, test.path, "x")
				if !shutsDown {
					r.Header.Set("X-Deadline-Ms", "300")
				}
				answers := make(chan answer, 1)
				go func() { answers <- f.do(r) }()
				connection := <-s.answered
				f.Cleanup(func() { _ = connection.Close() })
				time.Sleep(100 * time.Millisecond)
				if shutsDown {
					end()
				}
				a := <-answers
				f.Check(a.err != nil || a.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d, %d bytes", a.status, len(a.body)))
			})
		}
	}
}

// TestRunThatMovesTwice has two engines drain one after the other during a stream that ends with
// its connections. If the answer to the second request for a last copy is lost, the part must not
// look complete.
func TestRunThatMovesTwice(t *testing.T) {
	const interval = 16 * time.Millisecond
	for _, lost := range []bool{false, true} {
		t.Run(map[bool]string{true: "lost", false: "answered"}[lost], func(t *testing.T) {
			f, one, two := newUnframedFixture(t)
			three := platformtest.NewServer("i-3", longStreamEvents)
			f.Cleanup(three.Close)
			three.SetUnframed(true)
			one.SetPause(interval)
			two.SetPause(interval)
			three.SetPause(interval)
			two.SetLoseFinalAnswers(lost)
			answers := f.startLongStream("/quote/", one, two)
			one.SetDraining(600 * time.Millisecond)
			f.specs[0].Draining = true
			f.directory.SetServers(f.specs, time.Now())
			f.eventually(func() bool { return receivedCount(two) == 1 })
			time.Sleep(2 * interval)
			f.registerServer("i-3", "llm", three.Address())
			two.SetDraining(600 * time.Millisecond)
			f.specs[1].Draining = true
			f.directory.SetServers(f.specs, time.Now())
			a := <-answers
			requests, _ := two.CopyCounts()
			f.Check(requests, qt.Equals, 2)
			if lost {
				f.checkNotComplete(a)
				return
			}
			f.checkComplete(a)
			f.Check(receivedCount(three), qt.Equals, 1)
		})
	}
}
