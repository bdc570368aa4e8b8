package placement

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/rendezvous"
	"acaciapath.example/core/replica"
)

// Requirements are what a request requires of a backend server.
type Requirements struct {
	// FailureDomain is the failure domain of the entry daemon.
	FailureDomain string
	// Generates states that the request runs on a model engine.
	Generates bool
	// Lane is the lane of the route. It has no meaning for requests that do not
	// generate.
	Lane Lane
	// SharedPrefixKey identifies the prefix of the prompt that other requests
	// share. It is 0 if there is none.
	SharedPrefixKey uint64
	// SharedPrefixTokens is the length of that prefix.
	SharedPrefixTokens int
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// OutputTokens is the number of tokens that the request is expected to generate.
	OutputTokens int
	// CopiedKVTokens is the number of tokens whose KV cache is copied to the
	// server from the engine that has run the request so far, or 0. In that
	// case FailureDomain is the failure domain of that engine. Engines do not
	// preempt such a request, so it is placed only on servers of its own lane.
	CopiedKVTokens int
	// FirstEventTarget is the latency objective of the first event, or 0 if the
	// first event has arrived.
	FirstEventTarget time.Duration
	// FailedServers are the names of the servers that failed the request.
	FailedServers []string
	// OnlyVersion states that only servers whose software has the version Version can
	// continue the stream.
	OnlyVersion bool
	Version     string
	// Homes are the failure domains in which the request may be executed.
	Homes Homes
	// Priority is the priority of the request; 0 is the most urgent. It decides which request
	// gets the room of brittle servers first.
	Priority int
}

// Server is the state of a backend server as one entry daemon knows it.
type Server struct {
	*replica.Replica
	// Lane is the lane that the server is reserved for.
	Lane Lane
	// PendingPromptTokens is the number of prompt tokens of requests that this
	// daemon sent to the server and that have not had their first event. A
	// token whose KV cache is copied counts as copyCostRatio tokens.
	// PendingPromptTokens ≥ 0.
	PendingPromptTokens int
	// HeldTokens is the number of tokens that the requests of this daemon hold in the
	// engine's memory at their end, with a shared prefix once. HeldTokens ≥ 0.
	HeldTokens int
	// Misdirected states that a different server answered at its address. The
	// server is not used until its address or start time changes.
	Misdirected bool
	// FullUntil is the time until which the server is avoided because it
	// rejected a request for lack of capacity.
	FullUntil time.Time
	// Limit is the limit that the server names, or nil if there is none.
	Limit *RateLimit
	// SaysLeaving states that the server said in an answer that it leaves.
	SaysLeaving bool
	// PausedUntil is the end of the pause that the server asked for, or zero.
	PausedUntil time.Time
	// Evacuated states that the operator evacuates the failure domain of the server.
	Evacuated bool

	nameHash uint64
	// turn is the place of the server in the order in which this daemon uses servers with
	// equal costs. 0 ≤ turn < 1 if the order is known; Pool.deal sets it.
	turn float64
	// intervalAt is when a stream ended from which the time between events was observed.
	intervalAt time.Time
	// instance is Spec.Instance().
	instance string
	cold     coldState
	brittle  brittleShare
}

// Pool holds the backend servers of one service.
type Pool struct {
	// Servers are sorted by name.
	Servers []*Server
	// Shares are the shares of the servers that are reserved for lanes.
	Shares Shares
	// Peers are the daemons among which the limits of servers are divided. SetPeers sets
	// them.
	Peers Peers
	// Cold is what the servers tolerate while they are cold, or nil if they are never cold.
	// SetCold sets it.
	Cold *ColdLimit
	// KVCacheTokens is the size of the KV cache of each engine, in tokens, or 0 if it is not
	// known.
	KVCacheTokens int

	// lanes are the servers of each lane that are not excluded.
	lanes [ShortPauses + 1][]*Server
	// prefixCounts are the counts of this daemon's requests by their shared prefix.
	prefixCounts map[uint64]prefixCount
	// dealt states that the turns of this daemon are known.
	dealt bool
	// intervals are the mean times between events in each lane.
	intervals [ShortPauses + 1]meanInterval
	// ownHash and otherHashes are hashes of this daemon's VM and of the other members.
	ownHash     uint64
	otherHashes []uint64
	// listed states that Update has been called.
	listed bool
	// lost has the servers whose connections were lost, by failure domain and name, until a
	// server of the domain answers.
	lost map[string]map[string]time.Time
	// returning is when the last caller that was refused because of limits was told to
	// return.
	returning time.Time
	// runTime is the mean time in which recent requests ran.
	runTime meanInterval
	// brittle is what the servers say of being brittle, or nil if they are not.
	brittle *brittleness
	// evacuated are the failure domains that are evacuated. SetEvacuated sets them.
	evacuated map[string]bool
}

// Update replaces the servers, keeps the state of those that remain, and
// returns the names of the added and the removed ones. A server whose address
// or start time changed is treated as new, and returned in added only.
func (p *Pool) Update(specs []replica.Spec, now time.Time) (added, removed []string) {
	known := make(map[string]*Server, len(p.Servers))
	for _, s := range p.Servers {
		known[s.Spec.Name] = s
	}
	servers := make([]*Server, 0, len(specs))
	for _, spec := range specs {
		s := known[spec.Name]
		old := s
		if s == nil || s.Spec.Address != spec.Address || !s.Spec.StartedAt.Equal(spec.StartedAt) {
			s = &Server{Replica: replica.New(spec), nameHash: rendezvous.Hash(spec.Name), instance: spec.Instance()}
			added = append(added, spec.Name)
		}
		delete(known, spec.Name)
		p.updateCold(s, old, spec, now)
		s.Spec = spec
		servers = append(servers, s)
	}
	for name := range known {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	p.Servers, p.listed = servers, true
	p.markEvacuated()
	p.assignLanes()
	p.divideLimits(now)
	p.divideCold(now)
	p.divideBrittle(now)
	return added, removed
}

// Load returns the number of requests that this daemon runs on the servers, and
// the number of their prompt tokens that are not yet processed.
func (p *Pool) Load() (running, pendingPromptTokens int) {
	for _, s := range p.Servers {
		running += s.Running
		pendingPromptTokens += s.PendingPromptTokens
	}
	return running, pendingPromptTokens
}

// SetShares sets the shares of the servers that are reserved for lanes.
func (p *Pool) SetShares(shares Shares) {
	p.Shares = shares
	p.assignLanes()
}

// fullCooldown is how long a server that rejected a request for lack of
// capacity is avoided. In about this time some of its requests end.
const fullCooldown = 200 * time.Millisecond

// RecordRejection records that the server rejected a request because it was
// full.
func (s *Server) RecordRejection(now time.Time) { s.FullUntil = now.Add(fullCooldown) }

// SetMisdirected records that a different server answered at the address of s.
func (p *Pool) SetMisdirected(s *Server) {
	s.Misdirected = true
	p.assignLanes()
}

// assignLanes assigns a lane to each server, with the same shares in each
// failure domain. Standard servers are assigned to short pauses first, since the
// platform evicts cheap ones and such streams often cannot be resumed. The result depends only on the list of
// servers and the shares, so that all daemons choose the same servers.
func (p *Pool) assignLanes() {
	for _, s := range p.Servers {
		s.Lane = Patient
	}
	p.divideLanes((*Server).isExcluded, func(s *Server, lane Lane) { s.Lane = lane })
	p.deal()
}

// divideLanes divides the servers that are not excluded among the lanes, so that each lane has
// servers of all versions. It calls assign for each that is not for patient requests.
func (p *Pool) divideLanes(excluded func(*Server) bool, assign func(*Server, Lane)) {
	domains := make(map[string][]*Server)
	versions := make(map[string]float64)
	for _, s := range p.Servers {
		if !excluded(s) {
			domains[s.Spec.FailureDomain] = append(domains[s.Spec.FailureDomain], s)
			versions[s.Spec.Version]++
		}
	}
	taken := make(map[Lane]map[string]float64)
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		servers := domains[domain]
		slices.SortFunc(servers, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(kindRank(a), kindRank(b)), cmp.Compare(a.nameHash, b.nameHash))
		})
		n := float64(len(servers))
		shortPauses := min(int(math.Ceil(p.Shares.ShortPauses*n)), len(servers))
		round := math.Round
		if p.Shares.UrgentAtMost {
			round = math.Floor
		}
		urgent := min(shortPauses+int(round(p.Shares.Urgent*n)), len(servers))
		for i := range urgent {
			lane := ShortPauses
			if i >= shortPauses {
				lane = Urgent
			}
			if taken[lane] == nil {
				taken[lane] = make(map[string]float64)
			}
			moveFirst(servers[i:], func(s *Server) float64 { return (taken[lane][s.Spec.Version] + 0.5) / versions[s.Spec.Version] })
			taken[lane][servers[i].Spec.Version]++
			assign(servers[i], lane)
		}
	}
}

// moveFirst moves the first of the servers of the best kind whose version has the lowest part
// in a lane to the front. The others keep their order.
func moveFirst(servers []*Server, part func(*Server) float64) {
	best := 0
	for i, s := range servers {
		if kindRank(s) == kindRank(servers[0]) && part(s) < part(servers[best]) {
			best = i
		}
	}
	s := servers[best]
	copy(servers[1:best+1], servers[:best])
	servers[0] = s
}

// kindRank returns the order in which kinds of servers are assigned to lanes.
func kindRank(s *Server) int {
	if s.Spec.Kind == config.KindCheap {
		return 1
	}
	return 0
}

// Terms of the cost of a server, in prompt tokens. An engine processes a prompt
// token in about 20 µs.
const (
	// otherDomainTokens is the cost of a server in another failure domain. It
	// stands for the price of transferring the request.
	otherDomainTokens = 1000
	// runningRequestTokens is the cost of each running request.
	runningRequestTokens = 300
	// jitterTokens is the range of the term which spreads requests over servers with
	// nearly equal costs: by the turns of this daemon, or at random.
	jitterTokens = 50
	// otherLaneTokens is the cost of a server that is reserved for another
	// lane. Such a server is used only if all others are excluded or far
	// busier.
	otherLaneTokens = 200_000
	// failedServerTokens is the cost of a server that failed the request.
	failedServerTokens = 10_000_000
	// fullServerTokens is the cost of a server that rejected a request as full
	// within the last fullCooldown.
	fullServerTokens = 100_000
	// cooldownTokens is the cost of a server in cooldown after a failure. It is
	// used only if no other server is left.
	cooldownTokens = 1_000_000
	// shortPausesOtherDomainTokens is the cost of a server in another failure
	// domain for requests with short pauses, whose first event is urgent, and
	// for requests that do not generate.
	shortPausesOtherDomainTokens = 2000
)

// Choose returns the server on which to run a request, or nil if no server is
// available. A server that is full, in cooldown or reserved for another lane
// is chosen if no better one is left. A run that is moved with a copy of its KV cache
// stays in its lane.
func (p *Pool) Choose(requirements Requirements, now time.Time, random *rand.Rand) *Server {
	if p.Shares.UrgentAtMost && requirements.Lane == Urgent && len(p.lanes[Urgent]) == 0 {
		requirements.Lane = ShortPauses
	}
	p.countPrefix(requirements.SharedPrefixKey, now)
	homes := p.prefixHomesOf(requirements, now)
	if requirements.Generates {
		best, c := p.cheapest(p.lanes[requirements.Lane], requirements, &homes, now, random)
		if best != nil && c < otherLaneTokens {
			return best
		}
	}
	best, _ := p.cheapest(p.Servers, requirements, &homes, now, random)
	return best
}

// cheapest returns the available server of the least cost, and that cost, or nil if none is
// available.
func (p *Pool) cheapest(servers []*Server, requirements Requirements, homes *prefixHomes, now time.Time, random *rand.Rand) (best *Server, least float64) {
	for _, s := range servers {
		if !p.accepts(s, requirements) || p.Availability(s, now) != Available {
			continue
		}
		c := p.cost(s, requirements, homes, now)
		if p.dealt && requirements.Generates {
			c += jitterTokens * s.turn
		} else {
			c += jitterTokens * random.Float64()
		}
		if best == nil || c < least {
			best, least = s, c
		}
	}
	return best, least
}

// accepts reports whether a server may run a request. When a failure domain loses its
// cheap servers in a burst, the servers that remain are those of the more urgent lanes.
// Runs that are moved there are not preempted, so that the engine would preempt
// urgent requests instead.
func (p *Pool) accepts(s *Server, requirements Requirements) bool {
	if requirements.OnlyVersion && s.Spec.Version != requirements.Version || !requirements.Homes.Allow(s.Spec.FailureDomain) {
		return false
	}
	return requirements.CopiedKVTokens == 0 || p.Shares == (Shares{}) || s.Lane == requirements.Lane
}

// cost returns the cost of running a request on a server, in prompt tokens;
// lower is better.
func (p *Pool) cost(s *Server, requirements Requirements, homes *prefixHomes, now time.Time) float64 {
	var c float64
	if requirements.Generates {
		c = p.engineCost(s, requirements, homes.has(s), now)
	} else {
		c = float64(s.Running) / float64(max(s.Spec.Slots, 1)) * plainServiceTokens
	}
	if s.Spec.FailureDomain != requirements.FailureDomain {
		c += otherDomainCost(requirements)
	}
	if now.Before(s.CooldownUntil) {
		c += cooldownTokens
	}
	if now.Before(s.FullUntil) {
		c += fullServerTokens
	}
	if s.IsCold(now) {
		c += coldServerTokens
	}
	if p.IsBrittle(s, now) {
		c += p.brittleCost(s, now)
	}
	if slices.Contains(requirements.FailedServers, s.Spec.Name) {
		c += failedServerTokens
	}
	return c
}

// engineCost returns the cost of what a request finds at an engine, in prompt tokens. home
// states that the engine should cache its shared prefix.
func (p *Pool) engineCost(s *Server, requirements Requirements, home bool, now time.Time) float64 {
	cached := requirements.SharedPrefixKey != 0 && s.Cached(requirements.SharedPrefixKey)
	c := float64(s.PendingPromptTokens + s.Running*runningRequestTokens)
	reading := c + float64(requirements.PromptTokens)
	if cached || home {
		reading -= float64(requirements.SharedPrefixTokens)
	} else {
		c += float64(requirements.SharedPrefixTokens)
	}
	if s.Lane != requirements.Lane {
		c += otherLaneTokens
	}
	return c + p.crowding(s, requirements, cached) + max(reading, 0)*p.slowness(s, now)
}

// plainServiceTokens is the cost of a fully occupied server of a plain service,
// compared to an idle one.
const plainServiceTokens = 5000

// copyCostRatio is the cost of copying the KV cache of a token, and also the
// additional cost if it is copied from another failure domain, both relative to
// the cost of processing the token as part of a prompt.
const copyCostRatio = 0.5

// otherDomainCost returns the cost of a server in another failure domain.
func otherDomainCost(requirements Requirements) float64 {
	if requirements.CopiedKVTokens > 0 {
		return copyCostRatio * float64(requirements.CopiedKVTokens)
	}
	if requirements.Lane == ShortPauses || !requirements.Generates {
		return shortPausesOtherDomainTokens
	}
	return otherDomainTokens
}

// BeginRequest records that a request was sent to the server. It returns the number of tokens
// that the request holds there, with which FinishRequest must be called.
func (s *Server) BeginRequest(requirements Requirements, now time.Time) (held int) {
	held = requirements.heldTokens(s.Cached(requirements.SharedPrefixKey))
	s.HeldTokens += held
	var keys []uint64
	if requirements.SharedPrefixKey != 0 {
		keys = []uint64{requirements.SharedPrefixKey}
	}
	s.Replica.BeginRequest(keys, now)
	if s.Limit != nil {
		s.Limit.take()
	}
	s.cold.beginRequest(now)
	s.brittle.begin(s.Running-1, now)
	s.PendingPromptTokens += requirements.PromptTokens + int(copyCostRatio*float64(requirements.CopiedKVTokens))
	return held
}

// FinishRequest records that a request ended which held a number of tokens.
func (s *Server) FinishRequest(held int, now time.Time) {
	s.HeldTokens = max(s.HeldTokens-held, 0)
	s.EndRequest(now)
}

// RecordFirstEvent records that the first event of a request arrived, so that
// its prompt is processed.
func (s *Server) RecordFirstEvent(requirements Requirements) {
	s.PendingPromptTokens = max(0, s.PendingPromptTokens-requirements.PromptTokens-int(copyCostRatio*float64(requirements.CopiedKVTokens)))
}
