package replica

import (
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
)

// State says whether a replica is given work.
type State string

// The states of a replica.
const (
	// Ready is given work.
	Ready State = "ready"
	// Draining finishes its work and is given none.
	Draining State = "leaving"
	// Failed is given none until it has had time to recover.
	Failed State = "failed"
)

// Times of failures.
const (
	// baseRest is how long a replica is left alone after its first failure.
	baseRest = 500 * time.Millisecond
	// maxRest bounds the time after many failures.
	maxRest = 15 * time.Second
)

// Spec is what is known of a replica from the configuration or the platform.
type Spec struct {
	// Name is the name of the backend server.
	Name string
	// Address is an IP number and a port.
	Address string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Serves are the models, or the one plain service, that it serves.
	Serves []string
	// Kind is the way in which it was bought.
	Kind config.ServerKind
	// Slots is the number of requests that it runs at once. Slots ≥ 1.
	Slots int
	// Draining says whether it is about to be taken away.
	Draining bool
	// TimeLeft is the time that a leaving backend server had left when it wrote
	// its entry, or 0 if it did not say.
	TimeLeft time.Duration
	// StartedAt is when it started, or zero if it is not known. A backend server that
	// started again under its name knows nothing of before.
	StartedAt time.Time
}

// Replica is a backend server as one entry daemon knows it. It is not safe for
// concurrent use.
type Replica struct {
	// Spec is what it is.
	Spec Spec
	// Running is the number of this daemon's requests on it. Running ≥ 0.
	Running int
	// Load is what it last published, with Load.At zero if it never did.
	Load engine.Load
	// ConsecutiveFailures is the number of failures since the last success.
	ConsecutiveFailures int
	// CooldownUntil is when it is given work again after a failure.
	CooldownUntil time.Time
	// InterTokenLatency is the average time between tokens; 0 if nothing is known.
	InterTokenLatency time.Duration

	// foreign is the number of places that others took at Load.At.
	foreign int
	// history is how Running changed, since before Load.At.
	history history
	// cached are the prefixes that were sent to it lately.
	cached prefixSet
}

// New returns a replica on which nothing runs.
func New(spec Spec) *Replica {
	return &Replica{Spec: spec}
}

// State returns whether the replica is given work at now.
func (r *Replica) State(now time.Time) State {
	if r.Spec.Draining {
		return Draining
	}
	if now.Before(r.CooldownUntil) {
		return Failed
	}
	return Ready
}

// OccupiedSlots returns how many of the replica's places are taken, as far as is
// known: by this daemon now, and by others when the load was published.
func (r *Replica) OccupiedSlots() int { return r.Running + r.foreign }

// FreeSlots returns how many places are free, as far as is known.
func (r *Replica) FreeSlots() int { return max(0, r.Spec.Slots-r.OccupiedSlots()) }

// BeginRequest accounts for a request that begins with the given prompt prefixes.
func (r *Replica) BeginRequest(prefixes []uint64, now time.Time) {
	r.Running++
	r.history.add(now, r.Running)
	for _, p := range prefixes {
		r.cached.add(p)
	}
}

// EndRequest accounts for a request that ended.
func (r *Replica) EndRequest(now time.Time) {
	r.Running--
	r.history.add(now, r.Running)
}

// RecordSuccess ends a row of failures.
func (r *Replica) RecordSuccess() {
	r.ConsecutiveFailures = 0
	r.CooldownUntil = time.Time{}
}

// RecordFailure leaves the replica alone for a time that doubles with every failure.
func (r *Replica) RecordFailure(now time.Time) {
	rest := maxRest
	if r.ConsecutiveFailures < 5 {
		rest = baseRest << r.ConsecutiveFailures
	}
	r.ConsecutiveFailures++
	r.CooldownUntil = now.Add(rest)
}

// paceWeight is the weight of a new sample in the average pace.
const paceWeight = 0.2

// ObserveInterTokenLatency accounts for the average time between the tokens of an answer.
func (r *Replica) ObserveInterTokenLatency(pace time.Duration) {
	if pace <= 0 {
		return
	}
	if r.InterTokenLatency == 0 {
		r.InterTokenLatency = pace
		return
	}
	r.InterTokenLatency += time.Duration(paceWeight * float64(pace-r.InterTokenLatency))
}

// UpdateLoad takes in a published load, unless it is older than the one known. What
// this daemon ran at the time of the load is subtracted from it; the clocks of
// the daemon and the backend server have to agree to a fraction of the load's
// age for this to be exact.
func (r *Replica) UpdateLoad(load engine.Load) {
	if !load.At.After(r.Load.At) {
		return
	}
	r.Load = load
	r.foreign = max(0, load.Running+load.Waiting-r.history.at(load.At))
}

// Cached reports whether a prefix was sent to the replica lately.
func (r *Replica) Cached(prefix uint64) bool { return r.cached.has(prefix) }

// ApplyCacheEvent takes in a published change of the prefix cache.
func (r *Replica) ApplyCacheEvent(event engine.CacheEvent) {
	if event.Stored {
		r.cached.add(event.Prefix)
		return
	}
	r.cached.remove(event.Prefix)
}
