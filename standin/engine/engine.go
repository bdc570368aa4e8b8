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

// maxEndedResults is the number of ended requests whose results are kept for
// engine.PathCancel.
const maxEndedResults = 10_000

// errQueueFull is returned for a request that is rejected because the queue is
// full.
var errQueueFull = merry.Sentinel("too many requests are waiting")

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	options   Options
	faults    *fault.Injector
	http      *serve.Server
	runs      *record.Log[RunEntry]
	orders    *record.Log[OrderEntry]
	wake      chan struct{} // has an element after a request was enqueued
	closed    chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup

	mu            sync.Mutex // guards the fields below
	engineFaults  Faults     // only the fields that fault.Faults does not have are used
	lastArrival   uint64     // arrivalNumber of the newest request
	waiting       []*run     // sorted by compareRuns
	running       []*run
	endedIDs      []string                       // keys of endedResults, oldest first
	endedResults  map[string]engine.CancelResult // by request ID
	cache         *cache
	events        cacheEventLog
	loads         loadHistory
	models        []string
	role          string
	highestFence  uint64
	appliedOrders map[string]bool // by order ID
}

// New returns an engine that has not been started.
func New(options Options) *Engine {
	e := &Engine{
		options:      options.withDefaults(),
		faults:       fault.NewInjector(),
		runs:         record.New[RunEntry](options.LogLimit),
		orders:       record.New[OrderEntry](options.LogLimit),
		wake:         make(chan struct{}, 1),
		closed:       make(chan struct{}),
		endedResults: make(map[string]engine.CancelResult),
		events:       cacheEventLog{lag: options.CacheEventLag, dropEvery: options.DropEveryNthCacheEvent},
		loads:        loadHistory{lag: options.LoadLag},
	}
	e.resetMemory()
	e.loads.snapshots = []engine.Load{e.load(e.now())}
	e.http = serve.New(e.handler())
	e.SetFaults(options.Faults)
	return e
}

// Start serves the engine on address, an IP address and port. Port 0 selects a
// free port.
func (e *Engine) Start(address string) error {
	if err := e.http.Start(address); err != nil {
		return err
	}
	e.wg.Go(e.loop)
	return nil
}

// Address returns the IP address and port that the engine listens on.
func (e *Engine) Address() string { return e.http.Address() }

// Name returns the name of the engine.
func (e *Engine) Name() string { return e.options.Name }

// Close stops the engine and closes all its connections immediately. Requests
// that have not ended are logged as Crashed.
func (e *Engine) Close() error {
	e.closeOnce.Do(func() { close(e.closed) })
	e.faults.Close()
	e.mu.Lock()
	e.abortAll(e.now())
	e.mu.Unlock()
	err := e.http.Close()
	e.wg.Wait()
	return err
}

// Runs returns the log of ended chat requests.
func (e *Engine) Runs() *record.Log[RunEntry] { return e.runs }

// Orders returns the log of received orders.
func (e *Engine) Orders() *record.Log[OrderEntry] { return e.orders }

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.engineFaults
	f.Faults = e.faults.Faults()
	return f
}

// SetFaults replaces the faults. An engine that crashes loses all its requests
// and its whole state, including the highest fencing token it has seen.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engineFaults = f
	e.faults.Set(f.Faults)
	if f.Crashed {
		e.crash(e.now())
	}
}

// now returns the current time.
func (*Engine) now() time.Time { return time.Now() }

// crash ends all requests, resets the state and makes every later connection
// fail until the faults are replaced. The caller must hold e.mu.
func (e *Engine) crash(now time.Time) {
	e.faults.Update(func(f *fault.Faults) { f.Crashed = true })
	e.abortAll(now)
	e.resetMemory()
	e.publishLoad(now)
}

// abortAll ends all requests with the outcome Crashed. The caller must hold
// e.mu.
func (e *Engine) abortAll(now time.Time) {
	for _, r := range slices.Concat(e.running, e.waiting) {
		e.end(r, Crashed, now)
	}
}

// resetMemory resets the cache, the loaded models, the role, the fencing token
// and the results of ended requests to their initial state. The caller must
// hold e.mu.
func (e *Engine) resetMemory() {
	e.cache = newCache(e.options.CacheTokens, func(stored bool, hash uint64) {
		e.events.add(engine.CacheEvent{At: e.now(), Stored: stored, PrefixHash: hash})
	})
	e.endedIDs, e.endedResults = nil, make(map[string]engine.CancelResult)
	e.models = slices.Clone(e.options.Models)
	e.role, e.highestFence = "", 0
	e.appliedOrders = make(map[string]bool)
}

// enqueue adds a request to the queue. It returns errQueueFull if the batch and
// the queue are full.
func (e *Engine) enqueue(r *run) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := e.options.QueueLimit
	if limit > 0 && len(e.running) >= e.options.Slots && len(e.waiting) >= limit {
		return errQueueFull
	}
	e.lastArrival++
	r.arrivalNumber = e.lastArrival
	if r.entry.RequestID == "" {
		r.entry.RequestID = syntheticID(r.arrivalNumber)
	}
	e.waiting = insertRun(e.waiting, r)
	e.publishLoad(e.now())
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return nil
}

// stop ends a request that has not ended yet with the given outcome.
func (e *Engine) stop(r *run, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(r, outcome, e.now())
}

// end ends a request and logs it. It does nothing if the request has already
// ended. The caller must hold e.mu.
func (e *Engine) end(r *run, outcome Outcome, now time.Time) {
	if r.entry.Outcome != "" {
		return
	}
	e.running = removeRun(e.running, r)
	e.waiting = removeRun(e.waiting, r)
	r.entry.Outcome = outcome
	r.entry.EndedAt = now
	e.saveResult(r)
	e.runs.Add(r.entry)
	e.publishLoad(now)
	r.publish()
	close(r.done)
}

// saveResult keeps the result of an ended request for engine.PathCancel. The
// caller must hold e.mu.
func (e *Engine) saveResult(r *run) {
	id := r.entry.RequestID
	if _, ok := e.endedResults[id]; !ok {
		e.endedIDs = append(e.endedIDs, id)
	}
	e.endedResults[id] = r.cancelResult()
	if len(e.endedIDs) > maxEndedResults {
		delete(e.endedResults, e.endedIDs[0])
		e.endedIDs = e.endedIDs[1:]
	}
}

// cancel ends all requests with the ID and returns how much of the newest had
// run. The result is the zero value if the ID is unknown.
func (e *Engine) cancel(id string) engine.CancelResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*run
	for _, r := range slices.Concat(e.running, e.waiting) {
		if r.entry.RequestID == id {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *run) int { return int(a.arrivalNumber) - int(b.arrivalNumber) })
	for _, r := range found {
		e.end(r, Cancelled, e.now())
	}
	return e.endedResults[id]
}

// load returns the load at now. The caller must hold e.mu.
func (e *Engine) load(now time.Time) engine.Load {
	return engine.Load{
		At:                now,
		Running:           len(e.running),
		Waiting:           len(e.waiting),
		Slots:             e.options.Slots,
		CacheUsedFraction: e.cache.usedFraction(),
		Models:            slices.Clone(e.models),
		Role:              e.role,
	}
}

// publishLoad records the current load if the running or waiting requests, the
// role or the models have changed. The caller must hold e.mu.
func (e *Engine) publishLoad(now time.Time) {
	last := &e.loads.snapshots[len(e.loads.snapshots)-1]
	if last.Running == len(e.running) && last.Waiting == len(e.waiting) &&
		last.Role == e.role && slices.Equal(last.Models, e.models) {
		return
	}
	e.loads.add(e.load(now))
}
