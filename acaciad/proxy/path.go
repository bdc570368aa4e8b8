package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"acaciapath.example/acaciad/forwarding"
	reach "acaciapath.example/core/forwarding"
)

// Path tells whether the daemon reaches backend servers on its own path. *forwarding.Monitor
// implements it.
type Path interface {
	State() reach.State
	Await(ctx context.Context) reach.State
	Begin() (end func(answered bool))
	Lost(address string, reused bool)
	Hanging() context.Context
}

// Neighbours sends requests through neighbours. *forwarding.Asker implements it.
type Neighbours interface {
	Send(ctx context.Context, build func() forwarding.Request) (*http.Response, forwarding.Transmission, error)
	HasNeighbours() bool
}

// directPath is the path of a daemon without neighbours.
type directPath struct{}

func (directPath) State() reach.State                { return reach.Direct }
func (directPath) Await(context.Context) reach.State { return reach.Direct }
func (directPath) Begin() func(bool)                 { return func(bool) {} }
func (directPath) Lost(string, bool)                 {}
func (directPath) Hanging() context.Context          { return context.Background() }

// path returns the own path.
func (h *Handler) path() Path {
	if h.Path == nil {
		return directPath{}
	}
	return h.Path
}

// isCutOff reports whether the own path is cut off. While that is in doubt, it waits for the
// outcome.
func (h *Handler) isCutOff(ctx context.Context) bool {
	state := h.path().State()
	if state == reach.Suspect {
		state = h.path().Await(ctx)
	}
	return state == reach.CutOff
}

// throughNeighbour sends a request through a neighbour. It reports false if none takes it on.
func (h *Handler) throughNeighbour(ctx context.Context, build func() forwarding.Request) (*http.Response, forwarding.Transmission, error, bool) {
	if h.Neighbours == nil || ctx.Err() != nil {
		return nil, forwarding.Transmission{}, nil, false
	}
	response, how, err := h.Neighbours.Send(ctx, build)
	return response, how, err, !errors.Is(err, forwarding.ErrNoNeighbour)
}

// transmission tells what is known of the request that was sent in the current attempt.
type transmission struct {
	forwarding.Transmission
	// watch watches an attempt on the own path, or is nil.
	watch *forwarding.Watch
}

// transmit sends a request on the own path, or through a neighbour while that is cut off. If the
// own path turns out to be cut off before the request was sent, it goes through a neighbour at
// once. mayAbandon reports whether the attempt may be abandoned while it hangs.
func (h *Handler) transmit(ctx context.Context, mayAbandon func() bool, build func() forwarding.Request) (*http.Response, transmission, error) {
	if h.isCutOff(ctx) {
		if response, how, err, asked := h.throughNeighbour(ctx, build); asked {
			return response, transmission{Transmission: how}, err
		}
	}
	response, how, err := h.transmitDirectly(ctx, mayAbandon, build())
	if err == nil || how.Sent || !h.isCutOff(ctx) {
		return response, how, err
	}
	if response, how, err, asked := h.throughNeighbour(ctx, build); asked {
		return response, transmission{Transmission: how}, err
	}
	return nil, how, err
}

// transmitDirectly sends a request on the own path.
func (h *Handler) transmitDirectly(ctx context.Context, mayAbandon func() bool, request forwarding.Request) (*http.Response, transmission, error) {
	path := h.path()
	watchCtx, watch := forwarding.NewWatch(ctx, path.Hanging(), mayAbandon, time.Now())
	end := path.Begin()
	response, how, err := h.Client.Send(watchCtx, request)
	end(err == nil)
	if err != nil {
		watch.Stop()
		if how.Sent && ctx.Err() == nil {
			path.Lost(request.Address, how.Reused)
		}
		return nil, transmission{Transmission: how}, err
	}
	watch.Progress(time.Now())
	response.Body = &watchedBody{ReadCloser: response.Body, watch: watch}
	return response, transmission{Transmission: how, watch: watch}, nil
}

// watchedBody is the body of an answer whose progress is watched.
type watchedBody struct {
	io.ReadCloser
	watch *forwarding.Watch
}

// Read reads once.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watch.Progress(time.Now())
	}
	return n, err
}

// Close closes the body and ends the watch.
func (b *watchedBody) Close() error {
	defer b.watch.Stop()
	return b.ReadCloser.Close()
}

// mayAbandon returns a function that reports whether the next attempt may be abandoned while its
// path hangs: the request can be sent once more, through a neighbour.
func (x *exchange) mayAbandon() func() bool {
	h, service := x.handler, x.service
	if h.Neighbours == nil || !x.route.Repeatable() || x.failedRuns+1 >= x.route.MaxReplicas {
		return func() bool { return false }
	}
	x.keepsAttempt.Store(false)
	return func() bool {
		return !x.keepsAttempt.Load() && h.Neighbours.HasNeighbours() && h.RetryBudgets.Has(service, time.Now())
	}
}

// blamesServer reports whether the failure of the current attempt is evidence against its backend
// server. It is not while the own path is cut off, and the failure of a neighbour tells nothing
// unless that could not connect to the backend server.
func (x *exchange) blamesServer(ctx context.Context) bool {
	if x.transmission.Via != "" {
		return x.transmission.Reason == forwarding.ReasonDialFailed
	}
	return !x.handler.isCutOff(ctx)
}

// requestCount counts requests in progress. It is safe for concurrent use.
type requestCount struct{ n atomic.Int64 }

// begin counts a request until end is called.
func (c *requestCount) begin() (end func()) {
	c.n.Add(1)
	return func() { c.n.Add(-1) }
}

// InProgress returns the number of requests of callers in progress.
func (h *Handler) InProgress() int { return int(h.inProgress.n.Load()) }
