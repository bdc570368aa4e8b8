package replica

import (
	"strconv"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
)

// State states whether a replica gets new requests.
type State string

const (
	// Ready replicas get new requests.
	Ready State = "ready"
	// Draining replicas finish their requests and get no new ones.
	Draining State = "leaving"
	// Failed replicas get no new requests until their cooldown ends.
	Failed State = "failed"
)

const (
	// baseCooldown is the cooldown after the first failure.
	baseCooldown = 500 * time.Millisecond
	// maxCooldown is the longest cooldown.
	maxCooldown = 15 * time.Second
)

// Spec describes a replica, as listed in the configuration or by the platform.
type Spec struct {
	// Name is the name of the backend server.
	Name string
	// Address is an IP address and a port.
	Address string
	// FailureDomain is the failure domain of the backend server.
	FailureDomain string
	// Serves are the names of the models, or the name of the plain service,
	// that it serves.
	Serves []string
	// Version is the version of its software, or empty if it is not known. Versions have no
	// order.
	Version string
	// Kind is the kind of backend server: standard or cheap.
	Kind config.ServerKind
	// Slots is the largest number of requests that it runs concurrently.
	// Slots ≥ 1.
	Slots int
	// Draining states that it is about to stop.
	Draining bool
	// TimeLeft is the time that a draining backend server had left when it
	// wrote its entry, or 0 if it is not known.
	TimeLeft time.Duration
	// ColdFor is how much longer the backend server stayed cold when it wrote its entry, or 0
	// if it was not cold.
	ColdFor time.Duration
	// StartedAt is when it started, or zero if it is not known. A backend
	// server that restarted under the same name has lost its state.
	StartedAt time.Time
	// Sequence is the number of the entry among those that it wrote since its start, or 0
	// if it is not known.
	Sequence uint64
}

// Instance returns the name of the backend server together with its start, which identify
// it and what it holds.
func (s Spec) Instance() string {
	return s.Name + "@" + strconv.FormatInt(s.StartedAt.UnixMilli(), 10)
}

// Replica is the state of a backend server as one entry daemon knows it. It is
// not safe for concurrent use.
type Replica struct {
	// Spec is the latest description of the backend server.
	Spec Spec
	// Running is the number of requests of this daemon that it runs.
	// Running ≥ 0.
	Running int
	// Load is the load that it published last. Load.At is zero if it has not
	// published any.
	Load engine.Load
	// ConsecutiveFailures is the number of failures since the last success.
	ConsecutiveFailures int
	// CooldownUntil is the end of the cooldown after the last failure.
	CooldownUntil time.Time
	// InterTokenLatency is the average time between tokens, or 0 if it is not
	// known.
	InterTokenLatency time.Duration

	// othersRunning is the number of slots that requests of other daemons
	// occupied at Load.At.
	othersRunning int
	// history records the changes of Running, including those before Load.At
	// that are still needed.
	history history
	// cachedPrefixes are the prompt prefixes that it has probably cached: those
	// that this daemon sent to it or that it published.
	cachedPrefixes prefixSet
}

// New returns a replica that runs no requests.
func New(spec Spec) *Replica {
	return &Replica{Spec: spec}
}

// State returns the state of the replica at the time now.
func (r *Replica) State(now time.Time) State {
	if r.Spec.Draining {
		return Draining
	}
	if now.Before(r.CooldownUntil) {
		return Failed
	}
	return Ready
}

// OccupiedSlots returns the estimated number of occupied slots: those of this
// daemon now, and those of other daemons when the load was published.
func (r *Replica) OccupiedSlots() int { return r.Running + r.othersRunning }

// FreeSlots returns the estimated number of free slots. It is not negative.
func (r *Replica) FreeSlots() int { return max(0, r.Spec.Slots-r.OccupiedSlots()) }

// BeginRequest records that a request with the given prompt prefixes was sent
// to the replica.
func (r *Replica) BeginRequest(prefixes []uint64, now time.Time) {
	r.Running++
	r.history.add(now, r.Running)
	for _, p := range prefixes {
		r.cachedPrefixes.add(p)
	}
}

// EndRequest records that a request ended.
func (r *Replica) EndRequest(now time.Time) {
	r.Running--
	r.history.add(now, r.Running)
}

// RecordSuccess resets the number of consecutive failures and ends the
// cooldown.
func (r *Replica) RecordSuccess() {
	r.ConsecutiveFailures = 0
	r.CooldownUntil = time.Time{}
}

// RecordFailure starts a cooldown. It doubles with every consecutive failure,
// up to maxCooldown.
func (r *Replica) RecordFailure(now time.Time) {
	cooldown := maxCooldown
	if r.ConsecutiveFailures < 5 {
		cooldown = baseCooldown << r.ConsecutiveFailures
	}
	r.ConsecutiveFailures++
	r.CooldownUntil = now.Add(cooldown)
}

// latencySampleWeight is the weight of a new sample in the moving average of
// the inter-token latency.
const latencySampleWeight = 0.2

// ObserveInterTokenLatency adds the average time between the tokens of an
// answer to the moving average. It ignores values that are not positive.
func (r *Replica) ObserveInterTokenLatency(latency time.Duration) {
	if latency <= 0 {
		return
	}
	if r.InterTokenLatency == 0 {
		r.InterTokenLatency = latency
		return
	}
	r.InterTokenLatency += time.Duration(latencySampleWeight * float64(latency-r.InterTokenLatency))
}

// UpdateLoad records a published load. It ignores a load that is not newer than
// the known one. It subtracts the requests that this daemon ran at the time of
// the load, to get those of other daemons. For this to be exact, the clocks of
// the daemon and the backend server must agree to within a fraction of the age
// of the load.
func (r *Replica) UpdateLoad(load engine.Load) {
	if !load.At.After(r.Load.At) {
		return
	}
	r.Load = load
	r.othersRunning = max(0, load.Running+load.Waiting-r.history.at(load.At))
}

// Cached reports whether the replica has probably cached a prefix.
func (r *Replica) Cached(prefix uint64) bool { return r.cachedPrefixes.has(prefix) }

// ApplyCacheEvent applies a published change of the prefix cache.
func (r *Replica) ApplyCacheEvent(event engine.CacheEvent) {
	if event.Stored {
		r.cachedPrefixes.add(event.PrefixHash)
		return
	}
	r.cachedPrefixes.remove(event.PrefixHash)
}
