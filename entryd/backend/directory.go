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
	"acaciapath.example/core/platform"
	"acaciapath.example/core/program"
	"acaciapath.example/core/replica"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// Times of the polls, which are off the path of requests.
const (
	// ListInterval is how often the platform is asked for its backend servers.
	ListInterval = time.Second
	// DrainInterval is how often the platform is asked which backend servers are
	// to be released.
	DrainInterval = 2 * time.Second
	// LoadInterval is how often engines are asked for their load.
	LoadInterval = 250 * time.Millisecond
	// seldom is the number of LoadIntervals between two questions to an engine
	// that this daemon gives out no places of: 30 s.
	seldom = 120
	// pollTimeout bounds one question to an engine.
	pollTimeout = 2 * time.Second
	// pollsAtOnce is the number of engines that are asked at the same time.
	pollsAtOnce = 16
)

// Sink takes in what a Directory learns. It is called by several threads.
type Sink interface {
	// SetReplicas replaces all backend servers.
	SetReplicas(specs []replica.Spec)
	// Report takes in a load that a backend server published.
	UpdateLoad(name string, load engine.Load)
	// Observe takes in the changes of a backend server's prefix cache.
	ApplyCacheEvents(name string, events []engine.CacheEvent)
}

// Directory keeps the list of backend servers: the static ones of the
// configuration and those that the platform lists. The last known list is kept
// while the platform does not answer.
type Directory struct {
	client     *Client
	platform   *platform.Client
	sink       Sink
	dispatches func(model string) bool

	mu     sync.Mutex
	config *config.Config
	listed []*servers.BackendServer
	specs  []replica.Spec
	loaded map[string][]string
	events map[string]uint64
	// drains are the backend servers that are to be released.
	drains []string
}

// NewDirectory returns a directory without backend servers. Engines are asked
// for their load often while dispatches says that this daemon gives out places
// for one of their models, and else seldom.
func NewDirectory(client *Client, platform *platform.Client, sink Sink, dispatches func(model string) bool) *Directory {
	return &Directory{
		client:     client,
		platform:   platform,
		sink:       sink,
		dispatches: dispatches,
		config:     &config.Config{},
		loaded:     make(map[string][]string),
		events:     make(map[string]uint64),
	}
}

// SetConfig puts the backend servers of a configuration in force.
func (d *Directory) SetConfig(c *config.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = c
	d.rebuild()
}

// Run polls the platform and the engines until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var polls sync.WaitGroup
	polls.Go(func() { program.Every(ctx, ListInterval, d.pollList) })
	polls.Go(func() { program.Every(ctx, DrainInterval, d.pollDrains) })
	round := uint64(0)
	polls.Go(func() {
		program.Every(ctx, LoadInterval, func(ctx context.Context) {
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

// pollDrains asks which backend servers are to be released; they get no more
// work.
func (d *Directory) pollDrains(ctx context.Context) {
	drains, err := order.DrainedServers(ctx, d.platform.Table, "")
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(d.drains, drains) {
		d.drains = drains
		d.rebuild()
	}
}

// rebuild puts a new list in force. The caller holds the lock.
func (d *Directory) rebuild() {
	d.specs = Merge(d.config, d.listed, d.loaded)
	for i := range d.specs {
		d.specs[i].Draining = d.specs[i].Draining || slices.Contains(d.drains, d.specs[i].Name)
	}
	for name := range d.loaded {
		if !slices.ContainsFunc(d.specs, func(s replica.Spec) bool { return s.Name == name }) {
			delete(d.loaded, name)
			delete(d.events, name)
		}
	}
	d.sink.SetReplicas(d.specs)
}

// pollEngines asks the engines whose turn it is in a round.
func (d *Directory) pollEngines(ctx context.Context, round uint64) {
	d.mu.Lock()
	specs := d.specs
	d.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(pollsAtOnce)
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

// isDue reports whether an engine is asked in a round. Those that are asked
// seldom are spread over the rounds by their names.
func (d *Directory) isDue(s replica.Spec, round uint64) bool {
	if len(s.Serves) == 0 || slices.ContainsFunc(s.Serves, d.dispatches) {
		return true
	}
	return (round+xxhash.Sum64String(s.Name))%seldom == 0
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
	events, err := d.client.CacheEvents(ctx, s, d.lastEvent(s.Name))
	if err != nil || len(events) == 0 {
		return
	}
	d.sink.ApplyCacheEvents(s.Name, events)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events[s.Name] = events[len(events)-1].Seq
}

// setLoaded keeps which models an engine has loaded.
func (d *Directory) setLoaded(name string, models []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.loaded[name]
	if ok && slices.Equal(known, models) {
		return
	}
	d.loaded[name] = slices.Clone(models)
	d.rebuild()
}

func (d *Directory) lastEvent(name string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.events[name]
}
