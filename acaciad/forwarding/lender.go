package forwarding

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/connections"
	"acaciapath.example/core/forwarding"
	"acaciapath.example/core/memory"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/responses"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// Limits of forwarded requests.
const (
	// bodyTimeout is the time in which the body must arrive, and bodyWait how long it waits for
	// memory at a time. The asker's caller waits.
	bodyTimeout = 3 * time.Second
	bodyWait    = 200 * time.Millisecond
	// timeoutSlack is how long after the time limit of a request the asker may still read its
	// answer. An asker that lives ends the call itself.
	timeoutSlack = 2 * time.Second
	// defaultTimeout is the time limit of a request that states none.
	defaultTimeout = time.Minute
	// copyBytes is how much of an answer is read at once.
	copyBytes = 16 << 10
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// Lender forwards requests of neighbours to backend servers. It never asks another neighbour: while
// the daemon itself is cut off, it refuses them. It is safe for concurrent use.
type Lender struct {
	// Admission limits the requests.
	Admission forwarding.Admission
	// Directory knows the backend servers.
	Directory *directory.Directory
	// Await returns the state of the own path.
	Await func(context.Context) forwarding.State
	// Hanging returns a context that is done once the own path hangs.
	Hanging func() context.Context
	// Detoured reports whether the daemon itself reaches a backend server through neighbours only.
	Detoured func(address string) bool
	// OwnRequests returns the number of requests of the daemon's callers in progress.
	OwnRequests func() int
	// Send sends a request on the own path.
	Send func(context.Context, Request) (*http.Response, Transmission, error)
	// Accepts reports whether a backend server accepts connections.
	Accepts func(address string) bool
	// Timeout returns the time limit in the headers of a request, or 0 if there is none.
	Timeout func(http.Header) time.Duration
	// MaxBodyBytes returns the maximum size of a body.
	MaxBodyBytes func() int64
	// OnAnswer is called with each answer of a backend server, and OnLost if a backend server
	// broke off its answer after about the given number of events.
	OnAnswer func(Request, replica.Spec, *http.Response, Transmission)
	OnLost   func(request Request, server replica.Spec, events int)
	// Memory is where the memory of bodies is taken from.
	Memory *memory.Budget
	// Draining is done when the daemon begins to shut down, and Ending when it is about to stop.
	Draining, Ending context.Context
	// Metrics counts the requests.
	Metrics *Metrics
	// Logger logs refusals.
	Logger *logrus.Logger

	running sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	forwarded int
	ofAsker   map[string]int
	log       lineLimit
}

// NewLender returns a lender that still lacks its exported fields, except Metrics.
func NewLender(metrics *Metrics) *Lender {
	l := &Lender{Metrics: metrics, ofAsker: make(map[string]int)}
	metrics.observeLender(l)
	return l
}

// Handler returns a handler that forwards requests of neighbours and passes all others to next. It
// must see requests before a mux, which cleans their paths.
func (l *Lender) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isForwarded(r) {
			next.ServeHTTP(w, r)
			return
		}
		l.serve(w, r)
	})
}

// InProgress returns the number of requests that are being forwarded.
func (l *Lender) InProgress() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forwarded
}

// Wait waits until no request is being forwarded any more, or ctx is done. It is called after
// Draining is done.
func (l *Lender) Wait(ctx context.Context) error {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.running.Wait()
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin counts a request of an asker, or returns why it is refused.
func (l *Lender) begin(asker string) Reason {
	own := l.OwnRequests()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.Draining.Err() != nil:
		return ReasonDraining
	case !l.Admission.Admits(l.forwarded, l.ofAsker[asker], own):
		return ReasonBusy
	}
	l.running.Add(1)
	l.forwarded++
	l.ofAsker[asker]++
	return ReasonNone
}

// end counts the end of a request.
func (l *Lender) end(asker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forwarded--
	if l.ofAsker[asker]--; l.ofAsker[asker] == 0 {
		delete(l.ofAsker, asker)
	}
	l.running.Done()
}

// serve forwards one request.
func (l *Lender) serve(w http.ResponseWriter, r *http.Request) {
	asker := r.Header.Get(headerFrom)
	if asker == "" {
		asker = hostOf(r.RemoteAddr)
	}
	if reason := l.begin(asker); reason != ReasonNone {
		l.refuse(w, r, asker, reason)
		return
	}
	defer l.end(asker)
	checks := len(r.Header[headerCheck]) > 0
	to := r.Header.Get(headerTo)
	if checks {
		to = r.Header.Get(headerCheck)
	}
	name, address, ok := strings.Cut(to, " ")
	if !ok {
		l.refuse(w, r, asker, ReasonInvalid)
		return
	}
	if l.Await(r.Context()) == forwarding.CutOff {
		l.refuse(w, r, asker, ReasonCutOff)
		return
	}
	server, reason := l.check(name, address)
	if checks && reason != ReasonServerUnknown {
		l.answerCheck(w, r, asker, server)
		return
	}
	if reason != ReasonNone {
		l.refuse(w, r, asker, reason)
		return
	}
	body := &memory.Body{Budget: l.Memory, Holder: "neighbour/" + asker, MaxWait: bodyWait}
	defer body.Release()
	if r.ContentLength != 0 {
		if err := connections.ReadBody(w, r, body, l.MaxBodyBytes(), time.Now().Add(bodyTimeout)); err != nil {
			reason := ReasonBody
			if errors.Is(err, memory.ErrFull) {
				reason = ReasonMemory
			}
			l.refuse(w, r, asker, reason)
			return
		}
	}
	if server, reason = l.check(name, address); reason != ReasonNone { // the body may have taken a while
		l.refuse(w, r, asker, reason)
		return
	}
	l.forward(w, r, asker, server, l.request(r, body, server))
}

// hostOf returns the host of an address.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// check returns the backend server that is listed under a name and an address, or why it gets no
// requests.
func (l *Lender) check(name, address string) (replica.Spec, Reason) {
	server, availability, listed := l.Directory.Listed(name, address, time.Now())
	if !listed {
		return server, ReasonServerUnknown
	}
	switch availability {
	case placement.Leaving:
		return server, ReasonServerLeaving
	case placement.Misdirected:
		return server, ReasonServerMisdirected
	case placement.Evacuated:
		return server, ReasonServerEvacuated
	case placement.Paused:
		return server, ReasonServerPaused
	}
	if l.Detoured(address) {
		return server, ReasonDialFailed
	}
	return server, ReasonNone // limits are kept by the asker, which has its own part of them
}

// request returns the request to the backend server.
func (l *Lender) request(r *http.Request, body *memory.Body, server replica.Spec) Request {
	h := r.Header
	repeatable := len(h[headerRepeatable]) > 0
	removeOwnHeaders(h)
	delete(h, "Connection")
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	return Request{
		Method: r.Method, Target: r.URL, Host: r.Host, Header: h, Body: body,
		Server: server.Name, Address: server.Address, Repeatable: repeatable,
	}
}

// forward sends a request and relays the answer.
func (l *Lender) forward(w http.ResponseWriter, r *http.Request, asker string, server replica.Spec, request Request) {
	timeout := l.Timeout(request.Header)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout+timeoutSlack)
	defer cancel()
	defer context.AfterFunc(l.Ending, cancel)()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + timeoutSlack)) // an error shows in the writes
	ctx, watch := NewWatch(ctx, l.Hanging(), func() bool { return request.Repeatable }, time.Now())
	defer watch.Stop()
	response, how, err := l.Send(ctx, request)
	if err != nil {
		if r.Context().Err() != nil {
			l.leave()
		}
		if !how.Sent {
			l.refuse(w, r, asker, ReasonDialFailed)
			return
		}
		if ctx.Err() == nil {
			l.OnLost(request, server, 0)
		}
		l.refuseBroken(w)
		return
	}
	defer response.Body.Close()
	watch.Progress(time.Now())
	if response.StatusCode < http.StatusOK || response.StatusCode >= 600 {
		l.refuseBroken(w)
		return
	}
	l.OnAnswer(request, server, response, how)
	events, err := l.relay(w, response, how, watch)
	if err != nil {
		if r.Context().Err() != nil || errors.Is(err, errAskerLeft) {
			l.leave()
		}
		if ctx.Err() == nil {
			l.OnLost(request, server, events)
		}
		l.Metrics.countLent(resultBroken)
		panic(http.ErrAbortHandler) // the answer must not look complete
	}
	l.Metrics.countLent(resultAnswered)
}

// errAskerLeft is returned when a write to the asker fails.
var errAskerLeft = merry.Sentinel("forwarding: the asker has left")

// leave ends a request whose asker has left.
func (l *Lender) leave() {
	l.Metrics.countLent("asker-left")
	panic(http.ErrAbortHandler)
}

// relay sends an answer to the asker as it arrives. It returns about the number of events in it.
func (l *Lender) relay(w http.ResponseWriter, response *http.Response, how Transmission, watch *Watch) (events int, err error) {
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	removeOwnHeaders(h)
	if connection := h["Connection"]; len(connection) > 0 {
		h[headerConnection] = connection
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // keeps net/http from adding its own
		}
	}
	result := resultAnswered
	if how.Reused {
		result += " " + wordReused
	}
	if responses.EndsWithConnection(response) {
		result += " " + wordUnframed
	}
	h[headerResult] = []string{result}
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	_ = controller.Flush() // an error shows in the writes
	buffer := make([]byte, copyBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			watch.Progress(time.Now())
			events += bytes.Count(buffer[:n], eventEnd)
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return events, errAskerLeft
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return events, errAskerLeft
			}
		}
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}

// refuse answers that the request was not sent.
func (l *Lender) refuse(w http.ResponseWriter, r *http.Request, asker string, reason Reason) {
	l.Metrics.countLent(string(reason))
	h := w.Header()
	h[headerResult] = []string{resultNotSent + " " + string(reason)}
	if l.Draining.Err() != nil || r.ContentLength != 0 {
		h["Connection"] = []string{"close"} // the body may not have been read
	}
	h["Content-Length"] = []string{strconv.Itoa(0)}
	w.WriteHeader(http.StatusServiceUnavailable)
	l.mu.Lock()
	defer l.mu.Unlock()
	if suppressed, ok := l.log.allow(time.Now()); ok {
		l.Logger.WithFields(logrus.Fields{"vm": asker, "reason": string(reason), "not-logged": suppressed}).
			Info("request of a neighbour not forwarded")
	}
}

// refuseBroken answers that the request may have been sent and has no usable answer.
func (l *Lender) refuseBroken(w http.ResponseWriter) {
	l.Metrics.countLent(resultBroken)
	w.Header()[headerResult] = []string{resultBroken}
	w.Header()["Content-Length"] = []string{"0"}
	w.WriteHeader(http.StatusBadGateway)
}
