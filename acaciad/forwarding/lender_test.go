package forwarding_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/core/detour"
	reach "acaciapath.example/core/forwarding"
	"acaciapath.example/core/replica"
	"acaciapath.example/platform"

	qt "github.com/frankban/quicktest"
)

// TestRequestArrivesUnchanged has the backend server get the request that the asker would send, with
// paths that a mux would clean, and without the headers of the lender.
func TestRequestArrivesUnchanged(t *testing.T) {
	for _, target := range []string{"/order/", "/order//a/../b", "//order", "/order/%2f%2E?", "/order/a?b=c&d=%20"} {
		for _, repeatable := range []bool{false, true} {
			p := newPair(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			r := p.request(http.MethodPut, target, "body", repeatable)
			r.Header["X-Two"] = []string{"a", "b"}
			r.Header["Acaciapath-Forward-To"] = []string{"i-2 10.0.0.1:80"} // of a caller
			response, how, err := p.send(r)
			p.Assert(err, qt.IsNil)
			p.Check(how.Via, qt.Equals, p.port.Listener.Addr().String())
			p.Check(read(response).status, qt.Equals, http.StatusOK)
			got := p.requests()
			p.Assert(got, qt.HasLen, 1)
			p.Check([]string{got[0].method, got[0].uri, got[0].host, got[0].body}, qt.DeepEquals, []string{http.MethodPut, target, "shop.example", "body"})
			delete(got[0].header, "Connection") // single-use connections are closed
			p.Check(got[0].header, qt.DeepEquals, http.Header{
				"X-Attempt-Id": {"id-1"}, "X-Deadline-Ms": {"5000"}, "X-Two": {"a", "b"}, "Content-Length": {"4"},
			})
		}
	}
}

// TestBigBodyArrives has a body that does not fit into the buffers of a connection arrive, and a
// refusal before it be understood.
func TestBigBodyArrives(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		p := newPair(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		response, _, err := p.send(p.request(http.MethodPost, "/order/", bigBody, repeatable))
		p.Assert(err, qt.IsNil)
		p.Check(read(response).status, qt.Equals, http.StatusOK)
		p.Check(p.requests()[0].body, qt.Equals, bigBody)

		p.setState(reach.CutOff)
		_, how, err := p.send(p.request(http.MethodPost, "/order/", bigBody, repeatable))
		p.Check(errors.Is(err, forwarding.ErrNoNeighbour), qt.IsTrue, qt.Commentf("%v", err))
		p.Check(how.Reason, qt.Equals, forwarding.ReasonCutOff)
		p.Check(p.requests(), qt.HasLen, 1)
	}
}

// TestAnswerIsRelayed has status, headers and body of an answer arrive unchanged, however its end is
// shown.
func TestAnswerIsRelayed(t *testing.T) {
	for name, test := range map[string]struct {
		answer   string
		want     answered
		unframed bool
	}{
		"length": {
			answer: "HTTP/1.1 200 OK\r\nX-One: 1\r\nX-One: 2\r\nContent-Length: 2\r\n\r\nok",
			want:   answered{status: 200, body: "ok", header: http.Header{"X-One": {"1", "2"}, "Content-Length": {"2"}}},
		},
		"chunks": {
			answer: "HTTP/1.1 404 Nothing\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			want:   answered{status: 404, body: "ok", header: http.Header{}},
		},
		"no length": {
			answer: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n",
			want:   answered{status: 200, body: "data: 1\n\n", header: http.Header{"Content-Type": {"text/event-stream"}}}, unframed: true,
		},
		"named hop-by-hop header": {
			answer: "HTTP/1.1 200 OK\r\nConnection: X-One\r\nX-One: 1\r\nContent-Length: 0\r\n\r\n",
			want:   answered{status: 200, header: http.Header{"Connection": {"X-One"}, "X-One": {"1"}, "Content-Length": {"0"}}},
		},
		"headers of a lender": {
			answer: "HTTP/1.1 200 OK\r\nAcaciapath-Forward-Result: not-sent busy\r\nAcaciapath-Forward-X: 1\r\nContent-Length: 0\r\n\r\n",
			want:   answered{status: 200, header: http.Header{"Content-Length": {"0"}}},
		},
		"refusal": {
			answer: "HTTP/1.1 503 Busy\r\nRetry-After: 0.5\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			want:   answered{status: 503, header: http.Header{"Retry-After": {"0.5"}, "X-Not-Executed": {"1"}, "Content-Length": {"0"}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, raw(test.answer))
			response, how, err := p.send(p.request(http.MethodPost, "/order/", "x", false))
			p.Assert(err, qt.IsNil)
			p.Check(how.Reused, qt.IsFalse)
			p.Check(response.ContentLength < 0 && len(response.TransferEncoding) == 0, qt.Equals, test.unframed)
			got := read(response)
			p.Check(got.err, qt.IsNil)
			got.err = nil
			p.Check([]any{got.status, got.body, got.header}, qt.DeepEquals, []any{test.want.status, test.want.body, test.want.header})
			p.Check(p.heard, qt.HasLen, 1)
		})
	}
}

// TestReusedConnectionIsTold has the asker know that the lender's connection had carried another
// request.
func TestReusedConnectionIsTold(t *testing.T) {
	p := newPair(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for _, want := range []bool{false, true} {
		response, how, err := p.send(p.request(http.MethodGet, "/look/", "", true))
		p.Assert(err, qt.IsNil)
		p.Check(read(response).body, qt.Equals, "ok")
		p.Check(how.Reused, qt.Equals, want)
	}
	response, how, err := p.send(p.request(http.MethodPost, "/order/", "", false))
	p.Assert(err, qt.IsNil)
	p.Check(read(response).body, qt.Equals, "ok")
	p.Check(how.Reused, qt.IsFalse)
}

// TestBrokenAnswers has answers that break off, and what is no answer, not look like answers.
func TestBrokenAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		// begins states that the asker gets the beginning of an answer.
		begins bool
	}{
		"nothing":           {},
		"no HTTP":           {answer: "220 ready\r\n"},
		"status 000":        {answer: "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n"},
		"status 099":        {answer: "HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n"},
		"status 600":        {answer: "HTTP/1.1 600 None\r\nContent-Length: 0\r\n\r\n"},
		"head":              {answer: "HTTP/1.1 200 OK\r\nX-One"},
		"body with length":  {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", begins: true},
		"body with chunks":  {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", begins: true},
		"switches protocol": {answer: "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, raw(test.answer))
			response, how, err := p.send(p.request(http.MethodPost, "/order/", "x", false))
			if test.begins {
				p.Assert(err, qt.IsNil)
				p.Check(read(response).err, qt.IsNotNil)
			} else {
				p.Assert(errors.Is(err, forwarding.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
				p.Check(how.Sent, qt.IsTrue)
			}
			p.Check(p.requests(), qt.HasLen, 1)
		})
	}
}

// TestLostServersAreReported has the lender learn of answers that break off, with the events before.
func TestLostServersAreReported(t *testing.T) {
	p := newPair(t, raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\ndata: 1\n\ndata: 2\n\n\r\n"))
	response, _, err := p.send(p.request(http.MethodPost, "/reply/", "x", true))
	p.Assert(err, qt.IsNil)
	p.Check(read(response).err, qt.IsNotNil)
	p.eventually(func() bool { return p.lender.InProgress() == 0 })
	p.Check(p.lost, qt.DeepEquals, []int{2})
}

// TestEventsArriveAtOnce has each part of an answer arrive before the next one is sent.
func TestEventsArriveAtOnce(t *testing.T) {
	next := make(chan string)
	p := newPair(t, func(w http.ResponseWriter, _ *http.Request) {
		for event := range next {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
		}
	})
	p.Cleanup(func() { close(next) })
	go func() { next <- "data: 0\n\n" }()
	response, _, err := p.send(p.request(http.MethodPost, "/reply/", "x", true))
	p.Assert(err, qt.IsNil)
	defer response.Body.Close()
	buffer := make([]byte, 100)
	for i, want := range []string{"data: 0\n\n", "data: 1\n\n", "data: 2\n\n"} {
		if i > 0 {
			next <- want
		}
		n, err := response.Body.Read(buffer)
		p.Assert(err, qt.IsNil)
		p.Check(string(buffer[:n]), qt.Equals, want)
	}
}

// TestAskerLeaves has the end of the asker's call reach the backend server, before and after the
// head of the answer.
func TestAskerLeaves(t *testing.T) {
	for name, begins := range map[string]bool{"before the answer": false, "within it": true} {
		t.Run(name, func(t *testing.T) {
			left, came := make(chan struct{}), make(chan struct{})
			p := newPair(t, func(w http.ResponseWriter, r *http.Request) {
				if begins {
					_, _ = io.WriteString(w, "data: 1\n\n")
					_ = http.NewResponseController(w).Flush()
				}
				close(came)
				<-r.Context().Done()
				close(left)
			})
			ctx, cancel := context.WithCancel(p.Context())
			go func() {
				<-came
				time.Sleep(20 * time.Millisecond)
				cancel()
			}()
			response, how, err := p.asker.Send(ctx, func() forwarding.Request { return p.request(http.MethodPost, "/order/", "x", false) })
			if begins {
				p.Assert(err, qt.IsNil)
				p.Check(read(response).err, qt.IsNotNil)
			} else {
				p.Check(err, qt.IsNotNil)
				p.Check(how.Sent, qt.IsTrue)
			}
			select {
			case <-left:
			case <-time.After(10 * time.Second):
				p.Fatal("the backend server is still at work")
			}
			p.eventually(func() bool { return p.lender.InProgress() == 0 && p.asker.InProgress() == 0 })
			p.Check(p.lost, qt.HasLen, 0)
		})
	}
}

// TestLenderRefuses has a lender not send requests to servers that are not listed or get no
// requests, and none while it is cut off or shuts down.
func TestLenderRefuses(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(p *pair, r *forwarding.Request)
		reason  forwarding.Reason
		err     error
	}{
		"unknown server": {
			prepare: func(_ *pair, r *forwarding.Request) { r.Server = "i-2" },
			reason:  forwarding.ReasonServerUnknown, err: forwarding.ErrNotSent,
		},
		"other address": {
			prepare: func(p *pair, r *forwarding.Request) { r.Address = p.port.Listener.Addr().String() },
			reason:  forwarding.ReasonServerUnknown, err: forwarding.ErrNotSent,
		},
		"draining server": {
			prepare: func(p *pair, _ *forwarding.Request) {
				p.spec.Draining = true
				p.directory.SetServers([]replica.Spec{p.spec}, time.Now())
			},
			reason: forwarding.ReasonServerLeaving, err: forwarding.ErrNotSent,
		},
		"server that says that it leaves": {
			prepare: func(p *pair, _ *forwarding.Request) {
				p.directory.Hear(p.spec.Instance(), platform.Statement{Leaving: true}, time.Now())
			},
			reason: forwarding.ReasonServerLeaving, err: forwarding.ErrNotSent,
		},
		"server in a pause": {
			prepare: func(p *pair, _ *forwarding.Request) {
				p.directory.Hear(p.spec.Instance(), platform.Statement{Pause: time.Minute}, time.Now())
			},
			reason: forwarding.ReasonServerPaused, err: forwarding.ErrNotSent,
		},
		"evacuated failure domain": {
			prepare: func(p *pair, _ *forwarding.Request) {
				p.directory.SetEvacuated(map[string]time.Time{"b": time.Now()}, time.Now())
			},
			reason: forwarding.ReasonServerEvacuated, err: forwarding.ErrNotSent,
		},
		"server reached by detours": {
			prepare: func(p *pair, _ *forwarding.Request) { p.lender.Detoured = func(string) bool { return true } },
			reason:  forwarding.ReasonDialFailed, err: forwarding.ErrNotSent,
		},
		"server that is gone": {
			prepare: func(p *pair, _ *forwarding.Request) { p.server.Close() },
			reason:  forwarding.ReasonDialFailed, err: forwarding.ErrNotSent,
		},
		"cut off": {
			prepare: func(p *pair, _ *forwarding.Request) { p.setState(reach.CutOff) },
			reason:  forwarding.ReasonCutOff, err: forwarding.ErrNoNeighbour,
		},
		"shutting down": {
			prepare: func(p *pair, _ *forwarding.Request) { p.startDraining() },
			reason:  forwarding.ReasonDraining, err: forwarding.ErrNoNeighbour,
		},
		"busy with own requests": {
			prepare: func(p *pair, _ *forwarding.Request) { p.lender.OwnRequests = func() int { return 100 } },
			reason:  forwarding.ReasonBusy, err: forwarding.ErrNoNeighbour,
		},
		"no memory": {
			prepare: func(p *pair, r *forwarding.Request) {
				p.lender.Memory.Reserve("neighbour/vm-1", 5<<20)
				*r = p.request(http.MethodPost, "/order/", bigBody, false)
			},
			reason: forwarding.ReasonMemory, err: forwarding.ErrNoNeighbour,
		},
		"unreachable lender": {
			prepare: func(p *pair, _ *forwarding.Request) {
				p.asker.SetNeighbours([]detour.Neighbour{{Address: "127.0.0.1:1", FailureDomain: "a"}})
			},
			err: forwarding.ErrNoNeighbour,
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			r := p.request(http.MethodPost, "/order/", "x", false)
			test.prepare(p, &r)
			_, how, err := p.send(r)
			p.Check(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			p.Check(how.Sent, qt.IsFalse)
			p.Check(how.Reason, qt.Equals, test.reason)
			p.Check(p.requests(), qt.HasLen, 0)
			p.Check(p.lender.InProgress(), qt.Equals, 0)
		})
	}
}

// TestLenderLimits has a lender take on a bounded number of requests, and refuse others at once.
func TestLenderLimits(t *testing.T) {
	release := make(chan struct{})
	p := newPair(t, func(_ http.ResponseWriter, _ *http.Request) { <-release })
	results := make(chan error, 2)
	for range 2 {
		go func() {
			response, _, err := p.send(p.request(http.MethodPost, "/order/", "x", false))
			if err == nil {
				_ = response.Body.Close()
			}
			results <- err
		}()
	}
	p.eventually(func() bool { return len(p.requests()) == 2 })
	began := time.Now()
	_, how, err := p.send(p.request(http.MethodPost, "/order/", "x", false))
	p.Check(errors.Is(err, forwarding.ErrNoNeighbour), qt.IsTrue, qt.Commentf("%v", err))
	p.Check(how.Reason, qt.Equals, forwarding.ReasonBusy)
	p.Check(time.Since(began) < time.Second, qt.IsTrue)
	close(release)
	for range 2 {
		p.Check(<-results, qt.IsNil)
	}
	p.Check(p.requests(), qt.HasLen, 2)
}

// TestDrainingLenderFinishesRequests has a lender that shuts down refuse requests and wait for those
// in progress.
func TestDrainingLenderFinishesRequests(t *testing.T) {
	release := make(chan struct{})
	p := newPair(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "ok")
	})
	answers := make(chan answered, 1)
	go func() {
		response, _, err := p.send(p.request(http.MethodPost, "/order/", "x", false))
		if err != nil {
			answers <- answered{err: err}
			return
		}
		answers <- read(response)
	}()
	p.eventually(func() bool { return len(p.requests()) == 1 })
	p.startDraining()
	_, how, err := p.send(p.request(http.MethodPost, "/order/", "x", false))
	p.Check(err, qt.IsNotNil)
	p.Check(how.Reason, qt.Equals, forwarding.ReasonDraining)
	expired, cancel := context.WithTimeout(p.Context(), 20*time.Millisecond)
	defer cancel()
	p.Check(p.lender.Wait(expired), qt.IsNotNil)
	close(release)
	p.Check(p.lender.Wait(p.Context()), qt.IsNil)
	p.Check((<-answers).body, qt.Equals, "ok")
}

// TestOtherRequestsPass has requests without the lender's headers reach what else is served at its
// port.
func TestOtherRequestsPass(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	p.others = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") }
	response, err := http.Get(p.port.URL + "/row")
	p.Assert(err, qt.IsNil)
	p.Check(read(response).body, qt.Equals, "other")
	p.Check(p.requests(), qt.HasLen, 0)
}

// TestAnswersWithoutResult has an answer that no lender marked count as none, and the request as one
// that may have run.
func TestAnswersWithoutResult(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	other := newPair(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 10)) })
	p.asker.SetNeighbours([]detour.Neighbour{{Address: other.server.Listener.Addr().String(), FailureDomain: "a"}})
	_, how, err := p.send(p.request(http.MethodPost, "/order/", "x", false))
	p.Check(errors.Is(err, forwarding.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	p.Check(how.Sent, qt.IsTrue)
}

// TestReaches has neighbours tell whether they reach a server, also one that leaves.
func TestReaches(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	reaches := func() [2]bool {
		reached, known := p.asker.Reaches(p.Context(), p.spec.Name, p.spec.Address)
		return [2]bool{reached, known}
	}
	p.Check(reaches(), qt.Equals, [2]bool{true, true})
	p.directory.Hear(p.spec.Instance(), platform.Statement{Leaving: true}, time.Now())
	p.Check(reaches(), qt.Equals, [2]bool{true, true})
	p.server.Close()
	p.Check(reaches(), qt.Equals, [2]bool{false, true})
	p.setState(reach.CutOff)
	p.Check(reaches(), qt.Equals, [2]bool{false, false})
	p.Check(p.requests(), qt.HasLen, 0)
}
