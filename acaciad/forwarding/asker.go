package forwarding

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/forwarding"
	"acaciapath.example/core/keepalive"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// Errors of Asker.Send.
var (
	// ErrNoNeighbour is returned when no neighbour took the request on. It was not sent.
	ErrNoNeighbour = merry.Sentinel("forwarding: no neighbour takes the request on")
	// ErrNotSent is returned when a neighbour did not send the request.
	ErrNotSent = merry.Sentinel("forwarding: the neighbour did not send the request")
	// ErrBroken is returned when the request may have been sent and there is no usable answer.
	ErrBroken = merry.Sentinel("forwarding: the neighbour has no usable answer")
)

// Limits of the asker.
const (
	// maxAsked is the maximum number of neighbours that are asked to send a request, of which
	// all but the last have not sent it.
	maxAsked = 4
	// maxServersUnreached is the number of neighbours that do not reach the backend server, from
	// which that is its own fault.
	maxServersUnreached = 3
	// askDialTimeout bounds the establishment of a connection to a neighbour. It allows for
	// several round trips between regions.
	askDialTimeout = 250 * time.Millisecond
	// allCutOffMemory is how long it is remembered that neighbours were cut off themselves. They
	// are asked again within this time.
	allCutOffMemory = 2 * time.Second
	// maxIdlePerNeighbour and idleTimeout limit the idle connections to neighbours.
	maxIdlePerNeighbour = 8
	idleTimeout         = 5 * time.Second
	// maxHeadBytes is the maximum size of the status line and the headers of an answer, with
	// those of the lender.
	maxHeadBytes = 68 << 10
	// minExpectBytes is the size of a body from which the neighbour is asked whether it takes the
	// request on before the body is sent: an answer under a long upload may be lost.
	// expectTimeout is how long it may take to answer that.
	minExpectBytes = 16 << 10
	expectTimeout  = time.Second
	// keepAliveInterval and keepAliveProbes are those of connections to backend servers.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Asker sends requests to backend servers through neighbours. It is safe for concurrent use.
type Asker struct {
	// VM is the name of this VM.
	VM string
	// Metrics counts the requests.
	Metrics *Metrics
	// Logger logs which neighbours are asked.
	Logger *logrus.Logger

	// pooled reuses connections, and singleUse opens one for each request: net/http resends a
	// request if a reused connection turns out to be closed.
	pooled, singleUse http.RoundTripper

	mu       sync.Mutex // guards the fields below
	selector *forwarding.Selector
	random   *rand.Rand
	log      changeLog
	// reachedAt is when a neighbour last reached a backend server, and allCutOffAt when none
	// took a request on and some were cut off themselves.
	reachedAt, allCutOffAt time.Time
}

// NewAsker returns an asker of a daemon that has no neighbours until SetNeighbours is called.
func NewAsker(vm, failureDomain string, metrics *Metrics, logger *logrus.Logger, random *rand.Rand) *Asker {
	a := &Asker{
		VM: vm, Metrics: metrics, Logger: logger, random: random, selector: forwarding.NewSelector(failureDomain),
		pooled: newAskTransport(false), singleUse: newAskTransport(true),
	}
	metrics.observeAsker(a)
	return a
}

// newAskTransport returns a transport for calls of neighbours.
func newAskTransport(singleUse bool) *http.Transport {
	dialer := keepalive.NewDialer(askDialTimeout, net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	})
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerNeighbour, IdleConnTimeout: idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes, DisableCompression: true, DisableKeepAlives: singleUse,
		ExpectContinueTimeout: expectTimeout,
	}
}

// SetNeighbours replaces the neighbours that may be asked.
func (a *Asker) SetNeighbours(neighbours []detour.Neighbour) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.selector.SetNeighbours(neighbours)
}

// HasNeighbours reports whether any neighbour is known.
func (a *Asker) HasNeighbours() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.selector.HasNeighbours()
}

// AllCutOff reports whether the neighbours that were asked lately do not reach backend servers
// either, or there are no neighbours. Then the backend servers themselves have failed rather than
// the paths to them.
func (a *Asker) AllCutOff(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.selector.HasNeighbours() {
		return true
	}
	return now.Sub(a.allCutOffAt) < allCutOffMemory && now.Sub(a.reachedAt) >= allCutOffMemory
}

// InProgress returns the number of requests that neighbours forward for this daemon.
func (a *Asker) InProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.selector.InProgress()
}

// Send sends a request through a neighbour and returns the answer of the backend server. build
// returns the request at the time at which it is sent. While neighbours do not send it, others are
// asked. Errors are ErrNoNeighbour, ErrNotSent and ErrBroken; the request may have been sent only
// with the last one.
func (a *Asker) Send(ctx context.Context, build func() Request) (*http.Response, Transmission, error) {
	var asked, unreached []string
	var last Transmission
	cutOff := false
	for len(asked) < maxAsked && ctx.Err() == nil {
		a.mu.Lock()
		via, ok := a.selector.Begin(asked, time.Now(), a.random)
		a.mu.Unlock()
		if !ok {
			break
		}
		asked = append(asked, via)
		response, how, err := a.ask(ctx, via, build())
		last = how
		if err == nil {
			a.noteAlsoCutOff(unreached)
			return response, how, nil
		}
		a.end(via)
		a.Metrics.countAsked(how, err)
		if how.Sent {
			return nil, how, err
		}
		cutOff = cutOff || how.Reason == ReasonCutOff
		if how.Reason == ReasonDialFailed {
			unreached = append(unreached, via)
		}
		if how.Reason.concernsServer() || len(unreached) >= maxServersUnreached {
			return nil, how, err
		}
	}
	if len(unreached) > 0 || ctx.Err() != nil {
		return nil, last, ErrNotSent
	}
	a.noteNone(asked, last, cutOff)
	return nil, last, ErrNoNeighbour
}

// noteAlsoCutOff records that neighbours did not reach a backend server that another one reaches.
func (a *Asker) noteAlsoCutOff(neighbours []string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range neighbours {
		a.selector.Failed(n, forwarding.AlsoCutOff, now)
	}
}

// end counts the end of a request at a neighbour.
func (a *Asker) end(via string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.selector.End(via)
}

// ask sends a request through one neighbour and records what that tells about it.
func (a *Asker) ask(ctx context.Context, via string, request Request) (*http.Response, Transmission, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	transport := a.singleUse
	if request.Repeatable {
		transport = a.pooled
	}
	response, err := transport.RoundTrip(a.toLender(httptrace.WithClientTrace(ctx, trace), via, request))
	how := Transmission{Via: via, Sent: connected.Load()}
	if err != nil {
		if ctx.Err() == nil {
			a.fail(via, forwarding.Unreached, err.Error())
		}
		return nil, how, merry.Wrap(errorOf(how.Sent), merry.AppendMessage(err.Error()), merry.WithCause(err))
	}
	words := strings.Fields(response.Header.Get(headerResult))
	switch {
	case len(words) > 0 && words[0] == resultAnswered:
		how.Reused = slices.Contains(words, wordReused)
		a.answered(via)
		return a.fromLender(via, response, slices.Contains(words, wordUnframed)), how, nil
	case len(words) > 1 && words[0] == resultNotSent:
		how.Sent, how.Reason = false, Reason(words[1])
		if failure, ok := failureOf(how.Reason); ok {
			a.fail(via, failure, words[1])
		}
	}
	_ = response.Body.Close() // it has no answer
	return nil, how, merry.Wrap(errorOf(how.Sent), merry.AppendMessage(strings.Join(words, " ")))
}

// errorOf returns the error of a request without an answer.
func errorOf(sent bool) error {
	if sent {
		return ErrBroken
	}
	return ErrNotSent
}

// failureOf returns what a reason tells about the neighbour, or false if it tells nothing.
func failureOf(reason Reason) (forwarding.Failure, bool) {
	switch reason {
	case ReasonBusy, ReasonMemory, ReasonBody:
		return forwarding.Busy, true
	case ReasonCutOff:
		return forwarding.AlsoCutOff, true
	case ReasonDraining:
		return forwarding.ShuttingDown, true
	case ReasonDialFailed:
		return forwarding.ServerUnreached, true
	}
	return 0, false
}

// toLender returns the call that asks a neighbour to send a request.
func (a *Asker) toLender(ctx context.Context, via string, request Request) *http.Request {
	h := make(http.Header, len(request.Header)+3)
	for name, values := range request.Header {
		h[name] = values
	}
	removeOwnHeaders(h)
	h[headerTo] = []string{request.Server + " " + request.Address}
	h[headerFrom] = []string{a.VM}
	if request.Repeatable {
		h[headerRepeatable] = []string{"1"}
	}
	if request.Body.Len() > minExpectBytes {
		h["Expect"] = []string{"100-continue"}
	}
	request.Header, request.Address = h, via
	return request.HTTP(ctx)
}

// HTTP returns the request as net/http sends it.
func (r Request) HTTP(ctx context.Context) *http.Request {
	out := (&http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme: "http", Host: r.Address,
			Path: r.Target.Path, RawPath: r.Target.RawPath,
			RawQuery: r.Target.RawQuery, ForceQuery: r.Target.ForceQuery,
		},
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(r.Body.Len()),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	if r.Body.Len() > 0 {
		out.Body = io.NopCloser(r.Body.Reader())
	}
	return out
}

// fromLender makes the answer of a lender that of the backend server.
func (a *Asker) fromLender(via string, response *http.Response, unframed bool) *http.Response {
	connection := response.Header[headerConnection]
	removeOwnHeaders(response.Header)
	delete(response.Header, "Connection")
	if len(connection) > 0 {
		response.Header["Connection"] = connection
	}
	if unframed {
		response.ContentLength, response.TransferEncoding = -1, nil
	}
	response.Body = &countedBody{ReadCloser: response.Body, ended: sync.OnceFunc(func() {
		a.end(via)
		a.Metrics.countAsked(Transmission{Via: via}, nil)
	})}
	return response
}

// countedBody is the body of an answer that calls ended when it is closed.
type countedBody struct {
	io.ReadCloser
	ended func()
}

// Close closes the body.
func (b *countedBody) Close() error {
	defer b.ended()
	return b.ReadCloser.Close()
}

// answered records that a neighbour relayed an answer.
func (a *Asker) answered(via string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.selector.Answered(via)
	a.reachedAt = time.Now()
	if a.log.answered(via, time.Now()) {
		a.Logger.WithField("neighbour", via).Info("backend servers reached through a neighbour")
	}
}

// fail records that a neighbour failed a request.
func (a *Asker) fail(via string, failure forwarding.Failure, cause string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.selector.Failed(via, failure, now)
	if suppressed, ok := a.log.failed(now); ok {
		a.Logger.WithFields(logrus.Fields{"neighbour": via, "error": cause, "not-logged": suppressed}).
			Info("neighbour did not forward a request")
	}
}

// noteNone records that no neighbour took a request on. cutOff states that some are cut off
// themselves.
func (a *Asker) noteNone(asked []string, last Transmission, cutOff bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if cutOff {
		a.allCutOffAt = now
	}
	if suppressed, ok := a.log.none(now); ok {
		a.Logger.WithFields(logrus.Fields{"asked": len(asked), "error": string(last.Reason), "not-logged": suppressed}).
			Warn("no neighbour takes requests on, sending them on the own path")
	}
}
