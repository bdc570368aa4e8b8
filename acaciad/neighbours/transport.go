package neighbours

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/sleep"

	"github.com/sirupsen/logrus"
)

// Transport sends calls of the store directly or through a neighbour. It is safe
// for concurrent use.
type Transport struct {
	// Base sends calls by a way once it is chosen.
	Base http.RoundTripper
	// OnDirectFailure is called when the direct way is lost.
	OnDirectFailure func(now time.Time)
	// Metrics counts the calls.
	Metrics *Metrics
	// Logger says when the direct way is lost and regained.
	Logger *logrus.Logger

	// handing says that writes are handed over to neighbours.
	handing atomic.Bool

	mu      sync.Mutex // guards the fields below
	chooser detour.Selector
	random  *rand.Rand
	// direct are the reads that are under way directly, which are given up when
	// the direct way is lost.
	direct map[*http.Request]context.CancelFunc
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport of a daemon that knows no neighbours yet.
func NewTransport(base http.RoundTripper, failureDomain string, metrics *Metrics, logger *logrus.Logger, random *rand.Rand) *Transport {
	return &Transport{
		Base: base, Metrics: metrics, Logger: logger, random: random, OnDirectFailure: func(time.Time) {},
		chooser: detour.Selector{FailureDomain: failureDomain},
		direct:  make(map[*http.Request]context.CancelFunc),
	}
}

// SetNeighbours replaces the neighbours.
func (t *Transport) SetNeighbours(neighbours []detour.Neighbour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.SetNeighbours(neighbours)
}

// DirectFailing reports whether the direct way fails.
func (t *Transport) DirectFailing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.chooser.DirectFailing()
}

// StartHandOver has neighbours carry writes out from now on, because this daemon ends
// before the store is back. Only writes that may be carried out by anybody are sent
// through a Transport.
func (t *Transport) StartHandOver() { t.handing.Store(true) }

// Direct returns a transport that takes no detours, and tells this one what comes
// of its calls.
func (t *Transport) Direct() http.RoundTripper { return directly{t} }

// directly sends calls directly.
type directly struct{ transport *Transport }

// RoundTrip sends a call directly.
func (d directly) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := d.transport.Base.RoundTrip(r)
	d.transport.note(r, detour.Direct, response, err)
	return response, err
}

// Run tries the direct way while it fails, by a call that is not held, until ctx
// ends.
func (t *Transport) Run(ctx context.Context, probe func(ctx context.Context) error) {
	for ctx.Err() == nil {
		sleep.For(ctx, detour.ProbeInterval)
		if !t.DirectFailing() {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, detour.ProbeInterval)
		if err := probe(bounded); err != nil {
			t.Logger.WithError(err).Debug("the store is still not reached directly")
		}
		cancel()
	}
}

// RoundTrip sends a call by the way that is chosen now. If nothing was done by it,
// the call is sent once more through a neighbour.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost && t.handing.Load() {
		return t.handOver(r)
	}
	t.mu.Lock()
	way := t.chooser.Choose(time.Now(), t.random)
	t.mu.Unlock()
	response, err := t.send(r, way)
	if r.Context().Err() != nil || !nothingDone(r, response, err) {
		return response, err
	}
	t.mu.Lock()
	other := t.chooser.PickNeighbour(time.Now(), t.random)
	t.mu.Unlock()
	if other == detour.Direct || other == way {
		return response, err
	}
	again, copyErr := copyOf(r)
	if copyErr != nil {
		return response, err
	}
	if response != nil {
		_ = response.Body.Close() // another answer takes its place
	}
	return t.send(again, other)
}

// nothingDone reports whether a call that failed may be sent again: it reads, or
// the store said that it did nothing.
func nothingDone(r *http.Request, response *http.Response, err error) bool {
	if err != nil {
		return r.Method == http.MethodGet
	}
	return turnedAway(response)
}

// turnedAway reports whether the store did nothing because it is away or refuses
// this caller.
func turnedAway(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

// copyOf returns a request that can be sent again.
func copyOf(r *http.Request) (*http.Request, error) {
	c := r.Clone(r.Context())
	if r.GetBody == nil {
		return c, nil
	}
	body, err := r.GetBody()
	c.Body = body
	return c, err
}

// send sends a call by a way and notes what came of it.
func (t *Transport) send(r *http.Request, way string) (*http.Response, error) {
	out := r
	if way != detour.Direct {
		out = r.Clone(r.Context())
		out.URL.Host, out.Host = way, way
		response, err := t.Base.RoundTrip(out)
		t.note(r, way, response, err)
		return response, err
	}
	ctx, cancel := context.WithCancel(r.Context())
	out = r.WithContext(ctx)
	if r.Method == http.MethodGet {
		t.mu.Lock()
		t.direct[out] = cancel
		t.mu.Unlock()
	}
	response, err := t.Base.RoundTrip(out)
	t.mu.Lock()
	delete(t.direct, out)
	t.mu.Unlock()
	t.note(r, way, response, err)
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelling{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// cancelling ends a call when its answer is closed.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the answer.
func (c *cancelling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// note takes in what came of a call. A call that its caller gave up tells nothing
// unless its time was over.
func (t *Transport) note(r *http.Request, way string, response *http.Response, err error) {
	if err != nil && context.Cause(r.Context()) == context.Canceled {
		return
	}
	t.Metrics.count(way, response, err)
	now := time.Now()
	t.mu.Lock()
	lost, back := false, false
	var given []context.CancelFunc
	if err != nil || turnedAway(response) {
		lost = t.chooser.Failed(way, now)
	} else {
		back = t.chooser.Succeeded(way)
	}
	if lost {
		for _, cancel := range t.direct {
			given = append(given, cancel)
		}
	}
	t.mu.Unlock()
	for _, cancel := range given {
		cancel()
	}
	t.tell(lost, back, response, err, now)
}

func (t *Transport) tell(lost, back bool, response *http.Response, err error, now time.Time) {
	switch {
	case back:
		t.Logger.Info("the store is reached directly again")
	case lost && err != nil:
		t.Logger.WithError(err).Warn("the store is not reached directly, neighbours are asked to pass calls on")
	case lost:
		t.Logger.WithField("status", response.StatusCode).Warn("the store turns this VM away, neighbours are asked to pass calls on")
	}
	if lost {
		t.OnDirectFailure(now)
	}
}
