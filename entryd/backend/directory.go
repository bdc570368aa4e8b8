package backend

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/order"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/program"
	"acaciapath.example/core/replica"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// Poll intervals. Requests never wait for a poll.
const (
	// ListPollInterval is how often the list of backend servers is fetched from the
	// platform.
	ListPollInterval = time.Second
	// DrainPollInterval is how often the list of draining backend servers is
	// fetched from the platform's table.
	DrainPollInterval = 2 * time.Second
	// LoadPollInterval is how often the load of engines is fetched.
	LoadPollInterval = 250 * time.Millisecond
	// idlePollRounds is the number of LoadIntervals between two polls of an
	// engine on which this daemon assigns no slots: 30 s.
	idlePollRounds = 120
	// pollTimeout limits the polling of one engine.
	pollTimeout = 2 * time.Second
	// maxConcurrentPolls is the number of engines that are polled concurrently.
	maxConcurrentPolls = 16
)

// Sink receives the updates of a Directory. Its methods are called
// concurrently.
type Sink interface {
	// SetReplicas replaces all backend servers.
	SetReplicas(specs []replica.Spec)
	// UpdateLoad records the load that the named backend server published.
	UpdateLoad(name string, load engine.Load)
	// ApplyCacheEvents records changes of the named backend server's prefix
	// cache.
	ApplyCacheEvents(name string, events []engine.CacheEvent)
}

// Directory maintains the list of backend servers: the static ones of the
// configuration and those that the platform lists. It keeps the last list while
// the platform does not answer.
type Directory struct {
	client     *Client
	platform   *platformapi.Client
	sink       Sink
	dispatches func(model string) bool

	mu            sync.Mutex
	config        *config.Config
	listed        []*servers.BackendServer
	specs         []replica.Spec
	loadedModels  map[string][]string // by server name
	lastEventSeqs map[string]uint64   // by server name
	// draining lists the names of the backend servers that are about to be
	// released.
	draining []string
}

// NewDirectory returns a directory without backend servers. An engine is polled
// every LoadPollInterval if its models are not known yet or dispatches reports that
// this daemon assigns slots for one of them, otherwise every idlePollRounds
// LoadIntervals.
func NewDirectory(client *Client, platform *platformapi.Client, sink Sink, dispatches func(model string) bool) *Directory {
	return &Directory{
		client:        client,
		platform:      platform,
		sink:          sink,
		dispatches:    dispatches,
		config:        &config.Config{},
		loadedModels:  make(map[string][]string),
		lastEventSeqs: make(map[string]uint64),
	}
}

// SetConfig applies the backend servers and pools of a configuration.
func (d *Directory) SetConfig(c *config.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = c
	d.rebuild()
}

// Run polls the platform and the engines until ctx is done.
func (d *Directory) Run(ctx context.Context) {
	var polls sync.WaitGroup
	polls.Go(func() { program.Every(ctx, ListPollInterval, d.pollList) })
	polls.Go(func() { program.Every(ctx, DrainPollInterval, d.pollDrains) })
	round := uint64(0)
	polls.Go(func() {
		program.Every(ctx, LoadPollInterval, func(ctx context.Context) {
			d.pollEngines(ctx, round)
			round++
		})
	})
	polls.Wait()
}

func (d *Directory) pollList(ctx context.Context) {
	listed, err := d.platform.Servers.List(ctx, &servers.ListPayload{})
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = listed
	d.rebuild()
}

// pollDrains fetches the list of backend servers that are about to be released.
// They get no new requests.
func (d *Directory) pollDrains(ctx context.Context) {
	draining, err := order.DrainingServers(ctx, d.platform.Table, "")
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(d.draining, draining) {
		d.draining = draining
		d.rebuild()
	}
}

// rebuild merges the lists and passes the result to the sink. The caller holds
// the lock.
func (d *Directory) rebuild() {
	d.specs = Merge(d.config, d.listed, d.loadedModels)
	for i := range d.specs {
		d.specs[i].Draining = d.specs[i].Draining || slices.Contains(d.draining, d.specs[i].Name)
	}
	for name := range d.loadedModels {
		if !slices.ContainsFunc(d.specs, func(s replica.Spec) bool { return s.Name == name }) {
			delete(d.loadedModels, name)
			delete(d.lastEventSeqs, name)
		}
	}
	d.sink.SetReplicas(d.specs)
}

// pollEngines polls the engines that are due in a round.
func (d *Directory) pollEngines(ctx context.Context, round uint64) {
	d.mu.Lock()
	specs := d.specs
	d.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	for _, s := range specs {
		if IsPlainReplica(s) || !d.isDue(s, round) {
			continue
		}
		group.Go(func() error {
			d.pollEngine(ctx, s)
			return nil
		})
	}
	_ = group.Wait()
}

// isDue reports whether an engine is polled in a round. The engines that are
// polled rarely are spread over the rounds by a hash of their names.
func (d *Directory) isDue(s replica.Spec, round uint64) bool {
	if len(s.Serves) == 0 || slices.ContainsFunc(s.Serves, d.dispatches) {
		return true
	}
	return (round+xxhash.Sum64String(s.Name))%idlePollRounds == 0
}

func (d *Directory) pollEngine(ctx context.Context, s replica.Spec) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := d.client.Load(ctx, s)
	if err != nil {
		return
	}
	d.sink.UpdateLoad(s.Name, load)
	d.setLoaded(s.Name, load.Models)
	events, err := d.client.CacheEvents(ctx, s, d.lastEventSeq(s.Name))
	if err != nil || len(events) == 0 {
		return
	}
	d.sink.ApplyCacheEvents(s.Name, events)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastEventSeqs[s.Name] = events[len(events)-1].Seq
}

// setLoaded records the models that an engine has loaded.
func (d *Directory) setLoaded(name string, models []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous, ok := d.loadedModels[name]
	if ok && slices.Equal(previous, models) {
		return
	}
	d.loadedModels[name] = slices.Clone(models)
	d.rebuild()
}

func (d *Directory) lastEventSeq(name string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastEventSeqs[name]
}
