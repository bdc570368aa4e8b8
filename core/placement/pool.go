package placement

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/replica"
)

// Requirements is what a request asks of a backend server.
type Requirements struct {
	// FailureDomain is that of the entry daemon.
	FailureDomain string
	// Generates says whether the request runs on a model engine.
	Generates bool
	// Lane is the lane of its route. Requests that do not generate have none.
	Lane Lane
	// SharedPrefixKey names the beginning of the prompt that other requests share, or
	// is 0.
	SharedPrefixKey uint64
	// SharedPrefixTokens is the length of that beginning.
	SharedPrefixTokens int
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// CopiedKVTokens is the length of a run whose memory is copied to the server,
	// or 0. FailureDomain is that of the engine it comes from then. Its prompt is
	// not read again, so that it delays no request of another lane.
	CopiedKVTokens int
	// FirstEventTarget is the latency objective of the first event, or 0 if that has
	// arrived.
	FirstEventTarget time.Duration
	// FailedServers are the names of servers that failed the request.
	FailedServers []string
}

// Server is a backend server as one entry daemon knows it.
type Server struct {
	*replica.Replica
	// Lane is the lane whose requests it is kept for.
	Lane Lane
	// PendingPromptTokens is the number of prompt tokens that this daemon sent it and that
	// it has not answered yet with a first event. PendingPromptTokens ≥ 0.
	PendingPromptTokens int
	// Absent says that another server answered at its address. It is not used
	// until its entry changes.
	Absent bool
	// FullUntil is until when it is avoided because it took no more requests.
	FullUntil time.Time

	hash uint64
}

// Pool is the backend servers of one service.
type Pool struct {
	// Servers are in the order of their names.
	Servers []*Server
	// Shares are the shares of the servers that are kept for lanes.
	Shares Shares
}

// Update replaces the servers, keeping the state of those that stay, and
// returns the names of those that are new and of those that have gone. A server
// that was born again is new.
func (p *Pool) Update(specs []replica.Spec) (added, removed []string) {
	known := make(map[string]*Server, len(p.Servers))
	for _, s := range p.Servers {
		known[s.Spec.Name] = s
	}
	servers := make([]*Server, 0, len(specs))
	for _, spec := range specs {
		s := known[spec.Name]
		if s == nil || s.Spec.Address != spec.Address || !s.Spec.StartedAt.Equal(spec.StartedAt) {
			s = &Server{Replica: replica.New(spec), hash: hashName(spec.Name)}
			added = append(added, spec.Name)
		}
		delete(known, spec.Name)
		s.Spec = spec
		servers = append(servers, s)
	}
	for name := range known {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.Spec.Name, b.Spec.Name) })
	p.Servers = servers
	p.divide()
	return added, removed
}

// Load returns the requests that this daemon runs on the servers, and the prompt
// tokens of them that are not read yet.
func (p *Pool) Load() (running, reading int) {
	for _, s := range p.Servers {
		running += s.Running
		reading += s.PendingPromptTokens
	}
	return running, reading
}

// SetShares changes the shares of the servers that are kept for lanes.
func (p *Pool) SetShares(shares Shares) {
	p.Shares = shares
	p.divide()
}

// away reports whether the server is to get no requests at all.
func (s *Server) away() bool { return s.Spec.Draining || s.Absent }

// fullRest is how long a server that was full is avoided: about the time in
// which some of its requests end.
const fullRest = 200 * time.Millisecond

// RecordRejection notes that the server was full.
func (s *Server) RecordRejection(now time.Time) { s.FullUntil = now.Add(fullRest) }

// SetAbsent notes that another server answered at the address of the one with
// the given name.
func (p *Pool) SetAbsent(s *Server) {
	s.Absent = true
	p.divide()
}

// divide gives each server its lane: in each failure domain the same shares,
// standard servers to short pauses first, since such streams often cannot be
// resumed. All daemons choose the same ones.
func (p *Pool) divide() {
	domains := make(map[string][]*Server)
	for _, s := range p.Servers {
		s.Lane = Patient
		if !s.away() {
			domains[s.Spec.FailureDomain] = append(domains[s.Spec.FailureDomain], s)
		}
	}
	for _, servers := range domains {
		slices.SortFunc(servers, func(a, b *Server) int {
			return cmp.Or(cmp.Compare(kindRank(a), kindRank(b)), cmp.Compare(a.hash, b.hash))
		})
		n := float64(len(servers))
		short := min(int(math.Ceil(p.Shares.ShortPauses*n)), len(servers))
		urgent := min(short+int(math.Round(p.Shares.Urgent*n)), len(servers))
		for _, s := range servers[:short] {
			s.Lane = ShortPauses
		}
		for _, s := range servers[short:urgent] {
			s.Lane = Urgent
		}
	}
}

func kindRank(s *Server) int {
	if s.Spec.Kind == config.KindCheap {
		return 1
	}
	return 0
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return mix(h.Sum64())
}

// mix spreads the bits of x (finalizer of MurmurHash3 by Appleby).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Weights of a placement, in prompt tokens, which take an engine some 20 µs
// each.
const (
	// farTokens is what a server in another failure domain is worse by. It
	// stands for the price of the request's bytes.
	farTokens = 1000
	// runningTokens is what a running request makes a server worse by.
	runningTokens = 300
	// tieTokens spreads requests over servers that are nearly as good.
	tieTokens = 50
	// laneTokens is what a server that is kept for another lane is worse by: it
	// is used only if all others are away or far busier.
	laneTokens = 200_000
	// triedTokens is what a server that failed the request is worse by.
	triedTokens = 10_000_000
	// fullTokens is what a server that was full just now is worse by.
	fullTokens = 100_000
	// restingTokens is what a server that failed lately is worse by. It is
	// used only if no other is left.
	restingTokens = 1_000_000
	// shortFarTokens is what a server in another failure domain is worse by for
	// a request with short pauses, whose first event is urgent.
	shortFarTokens = 2000
)

// Choose returns the server that is to run a request, or nil if there is none.
func (p *Pool) Choose(wish Requirements, now time.Time, random *rand.Rand) *Server {
	home := p.home(wish)
	var best *Server
	bestCost := 0.0
	for _, s := range p.Servers {
		if s.away() {
			continue
		}
		c := cost(s, wish, home, now) + tieTokens*random.Float64()
		if best == nil || c < bestCost {
			best, bestCost = s, c
		}
	}
	return best
}

// home returns the server on which the beginning of the prompt is kept, or nil.
func (p *Pool) home(wish Requirements) *Server {
	if wish.SharedPrefixKey == 0 || wish.Lane == ShortPauses {
		return nil
	}
	var home *Server
	var highest uint64
	for _, s := range p.Servers {
		if s.away() || s.Lane != wish.Lane {
			continue
		}
		if weight := mix(s.hash ^ mix(wish.SharedPrefixKey)); home == nil || weight > highest {
			home, highest = s, weight
		}
	}
	return home
}

// cost returns how bad a server is for a request, in prompt tokens.
func cost(s *Server, wish Requirements, home *Server, now time.Time) float64 {
	c := float64(s.PendingPromptTokens + s.Running*runningTokens)
	if !wish.Generates {
		c = float64(s.Running) / float64(max(s.Spec.Slots, 1)) * plainTokens
	}
	if s.Spec.FailureDomain != wish.FailureDomain {
		c += far(wish)
	}
	if wish.Generates && s.Lane != wish.Lane && wish.CopiedKVTokens == 0 {
		c += laneTokens
	}
	if s != home && !s.Cached(wish.SharedPrefixKey) {
		c += float64(wish.SharedPrefixTokens)
	}
	if now.Before(s.CooldownUntil) {
		c += restingTokens
	}
	if now.Before(s.FullUntil) {
		c += fullTokens
	}
	if slices.Contains(wish.FailedServers, s.Spec.Name) {
		c += triedTokens
	}
	return c
}

// plainTokens is what a wholly occupied server of a plain service is worse by
// than an idle one.
const plainTokens = 5000

// copyShare is how long the copying of a token to another failure domain takes
// longer than inside, relative to the reading of a token.
const copyShare = 0.5

func far(wish Requirements) float64 {
	if wish.CopiedKVTokens > 0 {
		return copyShare * float64(wish.CopiedKVTokens)
	}
	if wish.Lane == ShortPauses || !wish.Generates {
		return shortFarTokens
	}
	return farTokens
}

// BeginRequest accounts for a request that is sent to a server.
func (s *Server) BeginRequest(wish Requirements, now time.Time) {
	var keys []uint64
	if wish.SharedPrefixKey != 0 {
		keys = []uint64{wish.SharedPrefixKey}
	}
	s.Replica.BeginRequest(keys, now)
	s.PendingPromptTokens += wish.PromptTokens + int(copyShare*float64(wish.CopiedKVTokens))
}

// RecordFirstEvent accounts for the first event of a request.
func (s *Server) RecordFirstEvent(wish Requirements) {
	s.PendingPromptTokens = max(0, s.PendingPromptTokens-wish.PromptTokens-int(copyShare*float64(wish.CopiedKVTokens)))
}
