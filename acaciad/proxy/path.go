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
	"acaciapath.example/core/replica"
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
	AllCutOff(now time.Time) bool
	Reaches(ctx context.Context, server, address string) (reached, known bool)
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

// pathFails reports whether the own path is cut off, so that lost connections are no evidence
// against backend servers. If connections are refused and neighbours do not reach backend servers
// either, these have failed themselves.
func (h *Handler) pathFails(ctx context.Context) bool {
	if !h.isCutOff(ctx) {
		return false
	}
	return h.path().Hanging().Err() != nil || h.Neighbours != nil && !h.Neighbours.AllCutOff(time.Now())
}

// throughNeighbour sends a request through a neighbour. It reports false if none takes it on.
func (h *Handler) throughNeighbour(ctx context.Context, build func() forwarding.Request) (response *http.Response, how transmission, done bool, err error) {
	if h.Neighbours == nil || ctx.Err() != nil {
		return nil, transmission{}, false, nil
	}
	response, sent, err := h.Neighbours.Send(ctx, build)
	return response, transmission{Transmission: sent}, !errors.Is(err, forwarding.ErrNoNeighbour), err
}

// transmission tells what is known of the request that was sent in the current attempt.
type transmission struct {
	forwarding.Transmission
	// watch watches an attempt on the own path, or is nil.
	watch *forwarding.Watch
}

// transmit sends a request to a backend server. It goes through a neighbour while the
// own path is cut off or does not reach that server, and at once if that turns out before the
// request was sent. mayAbandon reports whether the attempt may be abandoned while it hangs.
func (h *Handler) transmit(ctx context.Context, server, address string, mayAbandon func() bool, build func() forwarding.Request) (*http.Response, transmission, error) {
	if h.isCutOff(ctx) || h.isDetoured(address) {
		if response, how, done, err := h.throughNeighbour(ctx, build); done {
			return response, how, err
		}
	}
	response, how, err := h.transmitDirectly(ctx, mayAbandon, build())
	if err == nil || how.Sent || ctx.Err() != nil || h.Neighbours == nil {
		return response, how, err
	}
	if h.isCutOff(ctx) {
		if response, how, done, err := h.throughNeighbour(ctx, build); done {
			return response, how, err
		}
		return nil, how, err
	}
	select {
	case only := <-h.onlyNeighboursReach(server, address):
		if !only {
			return nil, how, err
		}
	case <-time.After(checkWait): // the server may be tried once more later
		return nil, how, err
	case <-ctx.Done():
		return nil, how, err
	}
	if response, how, done, err := h.throughNeighbour(ctx, build); done {
		return response, how, err
	}
	return nil, how, err
}

// checkWait is how long a request waits until a neighbour says that it reaches a backend server. One
// that does answers within a few round trips.
const checkWait = 100 * time.Millisecond

// isDetoured reports whether a backend server is reached through neighbours only.
func (h *Handler) isDetoured(address string) bool {
	return h.Neighbours != nil && h.Detours.Choose(address)
}

// onlyNeighboursReach finds out whether neighbours reach a backend server that the own path did not
// reach, and remembers that. It sends the outcome, once, on the channel that it returns.
func (h *Handler) onlyNeighboursReach(server, address string) <-chan bool {
	outcome := make(chan bool, 1)
	if h.Neighbours == nil || !h.Detours.MayAsk(address) {
		outcome <- false
		return outcome
	}
	go func() {
		reached, known := h.Neighbours.Reaches(context.Background(), server, address)
		switch {
		case reached:
			h.Detours.ReachedByNeighbour(address)
		case known:
			h.Detours.NotReachedByNeighbours(address)
		}
		outcome <- reached
	}()
	return outcome
}

// knowledgeWait is how long it is awaited what neighbours say of a backend server, and
// knowledgeInterval the time between two looks.
const (
	knowledgeWait     = 2 * time.Second
	knowledgeInterval = 20 * time.Millisecond
)

// isReachedElsewhere reports whether neighbours reach a backend server that the own path does not
// reach. It waits for what they say.
func (h *Handler) isReachedElsewhere(server, address string) bool {
	if h.Neighbours == nil {
		return false
	}
	for end := time.Now().Add(knowledgeWait); time.Now().Before(end); time.Sleep(knowledgeInterval) {
		switch h.Detours.Knowledge(address) {
		case reach.Detoured:
			return true
		case reach.Dead:
			return false
		case reach.Unknown:
			return <-h.onlyNeighboursReach(server, address)
		}
	}
	return false
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
		if how.Sent && ctx.Err() == nil && !watch.Abandoned() {
			path.Lost(request.Address, how.Reused)
		}
		return nil, transmission{Transmission: how, watch: watch}, err
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

// acceptsConnections reports whether the backend server of the current attempt is known to accept
// connections, by what neighbours say if this VM may be cut off from it.
func (x *exchange) acceptsConnections(ctx context.Context, server replica.Spec) bool {
	h := x.handler
	if h.Client.Accepts(server.Address) {
		return true
	}
	if x.transmission.Via == "" && !h.isCutOff(ctx) && !h.isDetoured(server.Address) || h.Neighbours == nil {
		return false
	}
	reached, _ := h.Neighbours.Reaches(ctx, server.Name, server.Address)
	return reached
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
// server. It is not while only the own path fails, and the failure of a neighbour tells nothing
// unless that could not connect to the backend server.
func (x *exchange) blamesServer(ctx context.Context, server replica.Spec) bool {
	if x.transmission.Via != "" {
		return x.transmission.Reason == forwarding.ReasonDialFailed
	}
	return !x.wasAbandoned() && !x.handler.pathFails(ctx) && !x.handler.isDetoured(server.Address)
}

// wasAbandoned reports whether the current attempt was abandoned because its path hangs.
func (x *exchange) wasAbandoned() bool {
	return x.transmission.watch != nil && x.transmission.watch.Abandoned()
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
