package engine

import (
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/engine"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/record"
	"acaciapath.example/standin/serve"

	"github.com/ansel1/merry/v2"
)

// endedLimit is the number of requests that PathCancel knows after their end.
const endedLimit = 10_000

// errQueueFull refuses a request because too many wait.
var errQueueFull = merry.Sentinel("too many requests are waiting")

// Engine is a model engine. It is safe for concurrent use.
type Engine struct {
	options Options
	faults  *fault.Injector
	http    *serve.Server
	runs    *record.Log[RunEntry]
	orders  *record.Log[OrderEntry]
	wake    chan struct{}
	closed  chan struct{}
	close   sync.Once
	wait    sync.WaitGroup

	mu        sync.Mutex
	special   Faults // the faults that are not those of the Injector
	last      uint64 // number of the last request
	waiting   []*run // in order
	running   []*run
	endedIDs  []string // oldest first
	ended     map[string]engine.CancelResult
	cache     *cache
	events    events
	loads     loads
	models    []string
	role      string
	fence     uint64
	orderSeen map[string]bool
}

// New returns an engine that is not started.
func New(options Options) *Engine {
	e := &Engine{
		options: options.withDefaults(),
		faults:  fault.NewInjector(),
		runs:    record.New[RunEntry](options.LogLimit),
		orders:  record.New[OrderEntry](options.LogLimit),
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		ended:   make(map[string]engine.CancelResult),
		events:  events{lag: options.CacheEventLag, loss: options.DropEveryNthCacheEvent},
		loads:   loads{lag: options.LoadLag},
	}
	e.forget()
	e.loads.taken = []engine.Load{e.load(e.now())}
	e.http = serve.New(e.handler())
	e.SetFaults(options.Faults)
	return e
}

// Start serves the engine on address, an IP number and a port; port 0 takes
// any free one.
func (e *Engine) Start(address string) error {
	if err := e.http.Start(address); err != nil {
		return err
	}
	e.wait.Go(e.loop)
	return nil
}

// Address returns the IP number and port that Start bound.
func (e *Engine) Address() string { return e.http.Address() }

// Name returns the name of the engine.
func (e *Engine) Name() string { return e.options.Name }

// Close ends the engine and all its connections at once.
func (e *Engine) Close() error {
	e.close.Do(func() { close(e.closed) })
	e.faults.Close()
	e.mu.Lock()
	e.endAll(e.now())
	e.mu.Unlock()
	err := e.http.Close()
	e.wait.Wait()
	return err
}

// Runs returns the log of the chat requests that have ended.
func (e *Engine) Runs() *record.Log[RunEntry] { return e.runs }

// Orders returns the log of the orders.
func (e *Engine) Orders() *record.Log[OrderEntry] { return e.orders }

// Faults returns the faults as they are now.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.special
	f.Faults = e.faults.Faults()
	return f
}

// SetFaults replaces the faults. An engine that crashes loses all requests and
// all that it had in memory, the fencing number included.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.special = f
	e.faults.Set(f.Faults)
	if f.Crashed {
		e.crash(e.now())
	}
}

// now returns the present time.
func (*Engine) now() time.Time { return time.Now() }

// crash ends all requests and connections, until the faults are replaced.
// e.mu is held.
func (e *Engine) crash(now time.Time) {
	e.faults.Update(func(f *fault.Faults) { f.Crashed = true })
	e.endAll(now)
	e.forget()
	e.publishLoad(now)
}

// endAll ends all requests as crashed. e.mu is held.
func (e *Engine) endAll(now time.Time) {
	for _, r := range slices.Concat(e.running, e.waiting) {
		e.end(r, Crashed, now)
	}
}

// forget sets what the engine has in memory to what it is at the start. e.mu
// is held.
func (e *Engine) forget() {
	e.cache = newCache(e.options.CacheTokens, func(stored bool, hash uint64) {
		e.events.add(engine.CacheEvent{At: e.now(), Stored: stored, PrefixHash: hash})
	})
	e.endedIDs, e.ended = nil, make(map[string]engine.CancelResult)
	e.models = slices.Clone(e.options.Models)
	e.role, e.fence = "", 0
	e.orderSeen = make(map[string]bool)
}

// submit makes a request wait for the batch. It returns errQueueFull if too
// many wait.
func (e *Engine) submit(r *run) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := e.options.QueueLimit
	if limit > 0 && len(e.running) >= e.options.Slots && len(e.waiting) >= limit {
		return errQueueFull
	}
	e.last++
	r.number = e.last
	if r.log.RequestID == "" {
		r.log.RequestID = syntheticID(r.number)
	}
	e.waiting = insertRun(e.waiting, r)
	e.publishLoad(e.now())
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return nil
}

// stop ends a request before it is complete.
func (e *Engine) stop(r *run, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(r, outcome, e.now())
}

// end ends a request, if it has not ended. e.mu is held.
func (e *Engine) end(r *run, outcome Outcome, now time.Time) {
	if r.log.Outcome != "" {
		return
	}
	e.running = removeRun(e.running, r)
	e.waiting = removeRun(e.waiting, r)
	r.log.Outcome = outcome
	r.log.Ended = now
	e.remember(r)
	e.runs.Add(r.log)
	e.publishLoad(now)
	close(r.over)
}

// remember keeps what ran of a request that has ended. e.mu is held.
func (e *Engine) remember(r *run) {
	id := r.log.RequestID
	if _, ok := e.ended[id]; !ok {
		e.endedIDs = append(e.endedIDs, id)
	}
	e.ended[id] = r.ran()
	if len(e.endedIDs) > endedLimit {
		delete(e.ended, e.endedIDs[0])
		e.endedIDs = e.endedIDs[1:]
	}
}

// cancel ends the requests with the id and returns what had run of the newest.
func (e *Engine) cancel(id string) engine.CancelResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*run
	for _, r := range slices.Concat(e.running, e.waiting) {
		if r.log.RequestID == id {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *run) int { return int(a.number) - int(b.number) })
	for _, r := range found {
		e.end(r, Cancelled, e.now())
	}
	return e.ended[id]
}

// load returns the load at now. e.mu is held.
func (e *Engine) load(now time.Time) engine.Load {
	return engine.Load{
		At:                now,
		Running:           len(e.running),
		Waiting:           len(e.waiting),
		Slots:             e.options.Slots,
		CacheUsedFraction: e.cache.usage(),
		Models:            slices.Clone(e.models),
		Role:              e.role,
	}
}

// publishLoad takes the load, if it changed. e.mu is held.
func (e *Engine) publishLoad(now time.Time) {
	last := &e.loads.taken[len(e.loads.taken)-1]
	if last.Running == len(e.running) && last.Waiting == len(e.waiting) &&
		last.Role == e.role && slices.Equal(last.Models, e.models) {
		return
	}
	e.loads.add(e.load(now))
}
