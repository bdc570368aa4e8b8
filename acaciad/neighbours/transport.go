package neighbours

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// Base sends a call once its path is selected.
	Base http.RoundTripper
	// OnDirectFailure is called when the direct path starts to fail.
	OnDirectFailure func(now time.Time)
	// Metrics counts calls.
	Metrics *Metrics
	// Logger logs when the direct path starts to fail and when it is restored.
	Logger *logrus.Logger

	// handingOver states that writes are handed over to neighbours.
	handingOver atomic.Bool
	// handOverUncertain states that a neighbour may have accepted a write without the
	// answer having arrived. Its usage must then not be written in another way as well.
	handOverUncertain atomic.Bool

	mu       sync.Mutex // guards the fields below
	selector detour.Selector
	random   *rand.Rand
	// collector selects the daemon that commits the writes of this one.
	collector collectorChoice
	// directReads holds the pending reads on the direct path, which are canceled and sent again
	// when that path starts to fail, and relayedReads those through neighbours, when it is
	// restored.
	directReads, relayedReads map[*http.Request]context.CancelFunc
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport of a daemon in failureDomain. It has no neighbours
// until SetNeighbours is called.
func NewTransport(base http.RoundTripper, failureDomain string, metrics *Metrics, logger *logrus.Logger, random *rand.Rand) *Transport {
	return &Transport{
		Base: base, Metrics: metrics, Logger: logger, random: random, OnDirectFailure: func(time.Time) {},
		selector:    detour.Selector{FailureDomain: failureDomain},
		directReads: make(map[*http.Request]context.CancelFunc), relayedReads: make(map[*http.Request]context.CancelFunc),
	}
}

// SetNeighbours replaces the neighbours that calls may be sent through.
func (t *Transport) SetNeighbours(neighbours []detour.Neighbour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.selector.SetNeighbours(neighbours)
}

// DirectFailing reports whether the direct path fails.
func (t *Transport) DirectFailing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selector.DirectFailing()
}

// StartHandOver makes the transport hand over writes to neighbours from now on, because
// this daemon may exit before the store is available again. All writes are handed over,
// so the transport must be used only for writes that any daemon may send.
func (t *Transport) StartHandOver() { t.handingOver.Store(true) }

// Direct returns a transport that uses only the direct path and records its results
// in t.
func (t *Transport) Direct() http.RoundTripper { return directTransport{t} }

// Relayed returns a transport that sends each call directly or through a neighbour, and
// neither to a collector nor, during a shutdown, to be written later.
func (t *Transport) Relayed() http.RoundTripper { return relayedTransport{t} }

// Collected returns a transport that sends writes to a collector and other calls directly or
// through a neighbour, and nothing to be written later.
func (t *Transport) Collected() http.RoundTripper { return collectedTransport{t} }

// collectedTransport sends writes to a collector if there is one.
type collectedTransport struct{ transport *Transport }

// RoundTrip implements http.RoundTripper.
func (c collectedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		if response, handled, err := c.transport.collect(r); handled {
			return response, err
		}
	}
	return c.transport.sendOnPath(r)
}

// relayedTransport sends calls on the selected path.
type relayedTransport struct{ transport *Transport }

// RoundTrip implements http.RoundTripper.
func (r relayedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	return r.transport.sendOnPath(request)
}

// directTransport sends calls on the direct path.
type directTransport struct{ transport *Transport }

// RoundTrip implements http.RoundTripper.
func (d directTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := d.transport.Base.RoundTrip(r)
	d.transport.recordResult(r, detour.Direct, response, err)
	return response, err
}

// Run probes the direct path while it fails, until ctx is done. probe is a call that
// the store answers at once.
func (t *Transport) Run(ctx context.Context, probe func(ctx context.Context) error) {
	for ctx.Err() == nil {
		sleep.For(ctx, detour.ProbeInterval)
		if !t.DirectFailing() {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, detour.ProbeInterval)
		if err := probe(probeCtx); err != nil {
			t.Logger.WithError(err).Debug("store still not reachable directly")
		}
		cancel()
	}
}

// RoundTrip sends a write to a collector, or hands it over, if there is reason to, and
// other calls on the selected path.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		if t.handingOver.Load() {
			return t.answerByHandOver(r)
		}
		if response, handled, err := t.collect(r); handled {
			return response, err
		}
	}
	return t.sendOnPath(r)
}

// sendOnPath sends a call directly or through a neighbour. If it fails and may be sent
// again, it is sent once more through a neighbour.
func (t *Transport) sendOnPath(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	via := t.selector.Choose(time.Now(), t.random)
	t.mu.Unlock()
	response, err := t.send(r, via)
	if r.Context().Err() != nil || !maySendAgain(r, response, err) {
		return response, err
	}
	t.mu.Lock()
	alternative := t.selector.PickNeighbour(time.Now(), t.random)
	if via != detour.Direct && !t.selector.DirectFailing() {
		alternative = detour.Direct
	} else if alternative == detour.Direct {
		alternative = via
	}
	t.mu.Unlock()
	if alternative == via {
		return response, err
	}
	resent, copyErr := cloneRequest(r)
	if copyErr != nil {
		return response, err
	}
	if response != nil {
		_ = response.Body.Close() // the second response replaces it
	}
	return t.send(resent, alternative)
}

// maySendAgain reports whether a call failed and may be sent again: it is a read, or
// the store refused it without executing it.
func maySendAgain(r *http.Request, response *http.Response, err error) bool {
	if err != nil {
		return r.Method == http.MethodGet
	}
	return storeRefused(response)
}

// storeRefused reports whether the store did not execute the call, because it is
// unavailable or limits this caller.
func storeRefused(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

// cloneRequest returns a copy of a request, with a new body, to send it again.
func cloneRequest(r *http.Request) (*http.Request, error) {
	c := r.Clone(r.Context())
	if r.GetBody == nil {
		return c, nil
	}
	body, err := r.GetBody()
	c.Body = body
	return c, err
}

// send sends a call and records the result. via is the address of a neighbour, or
// detour.Direct.
func (t *Transport) send(r *http.Request, via string) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	out, pending := r.WithContext(ctx), t.directReads
	if via != detour.Direct {
		out, pending = r.Clone(ctx), t.relayedReads
		out.URL.Host, out.Host = via, via
	}
	if r.Method == http.MethodGet {
		t.mu.Lock()
		pending[out] = cancel
		t.mu.Unlock()
	}
	response, err := t.Base.RoundTrip(out)
	t.mu.Lock()
	delete(pending, out)
	t.mu.Unlock()
	if via == detour.Direct {
		out = r // a direct read that was canceled here has failed
	}
	t.recordResult(out, via, response, err)
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// cancelOnClose is a response body that cancels the context of its call when closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the response body.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// recordResult records the result of a call that was sent via a neighbour or directly.
// When the direct path starts to fail, it cancels the pending direct reads, and when it is
// restored the relayed ones. It ignores calls that were canceled, but not calls that timed out.
func (t *Transport) recordResult(r *http.Request, via string, response *http.Response, err error) {
	if err != nil && context.Cause(r.Context()) == context.Canceled {
		return
	}
	t.Metrics.count(via, response, err)
	now := time.Now()
	t.mu.Lock()
	lost, restored := false, false
	var cancels []context.CancelFunc
	if err != nil || storeRefused(response) {
		lost = t.selector.Failed(via, now)
	} else {
		restored = t.selector.Succeeded(via)
	}
	if lost {
		cancels = slices.Collect(maps.Values(t.directReads))
	}
	if restored {
		cancels = slices.Collect(maps.Values(t.relayedReads))
	}
	t.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	t.reportChange(lost, restored, response, err, now)
}

// reportChange logs whether the direct path has started to fail (lost) or is restored.
// It calls OnDirectFailure in the former case.
func (t *Transport) reportChange(lost, restored bool, response *http.Response, err error, now time.Time) {
	switch {
	case restored:
		t.Logger.Info("store reachable directly again")
	case lost && err != nil:
		t.Logger.WithError(err).Warn("store not reachable directly, sending calls through neighbours")
	case lost:
		t.Logger.WithField("status", response.StatusCode).Warn("store refuses calls from this VM, sending calls through neighbours")
	}
	if lost {
		t.OnDirectFailure(now)
	}
}
