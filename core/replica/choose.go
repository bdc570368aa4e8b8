package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"acaciapath.example/core/config"
)

// Requirements is what a request asks of a replica.
type Requirements struct {
	// FailureDomain is that of the entry daemon; replicas in others are used
	// only when those in it are busier by farWeight.
	FailureDomain string
	// AllowCheap says whether a cheap backend server may be used.
	AllowCheap bool
	// CheapOnly says whether no other may be used.
	CheapOnly bool
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// FailedReplicas are the names of replicas that failed the request, which are used
	// again only if no other can be.
	FailedReplicas []string
}

// Weights of what is known of a replica, in shares of its places.
const (
	// cacheWeight is what a prompt that is wholly cached is worth.
	cacheWeight = 0.5
	// farWeight is what a replica in another failure domain is worse by.
	farWeight = 0.35
	// cheapWeight is what a cheap backend server is worth to a request that
	// may use it.
	cheapWeight = 0.25
	// tieWeight spreads requests over replicas that are nearly as good.
	tieWeight = 0.05
	// slowFactor is the multiple of the median pace above which a replica is a
	// straggler.
	slowFactor = 2
	// slowWeight is what a straggler is worse by.
	slowWeight = 1.0
	// triedWeight is what a replica that failed the request is worse by.
	triedWeight = 4.0
)

// Choose returns the replica that is to run a request, or nil if none can at
// present. Only ready replicas with a free place are considered.
func Choose(replicas []*Replica, wish Requirements, median time.Duration, now time.Time, random *rand.Rand) *Replica {
	var best *Replica
	var bestScore float64
	for _, r := range replicas {
		if !usable(r, wish, now) {
			continue
		}
		score := score(r, wish, median) + tieWeight*random.Float64()
		if best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// MedianInterTokenLatency returns the median of the known paces, or 0 if none is known. It
// uses scratch as its memory and returns it for the next call.
func MedianInterTokenLatency(replicas []*Replica, scratch []time.Duration) (time.Duration, []time.Duration) {
	scratch = scratch[:0]
	for _, r := range replicas {
		if r.InterTokenLatency > 0 {
			scratch = append(scratch, r.InterTokenLatency)
		}
	}
	if len(scratch) == 0 {
		return 0, scratch
	}
	slices.Sort(scratch)
	return scratch[len(scratch)/2], scratch
}

func usable(r *Replica, wish Requirements, now time.Time) bool {
	if r.State(now) != Ready || r.FreeSlots() == 0 {
		return false
	}
	if r.Spec.Kind == config.KindCheap {
		return wish.AllowCheap
	}
	return !wish.CheapOnly
}

// score returns how bad a replica is for a request, in shares of its places.
func score(r *Replica, wish Requirements, median time.Duration) float64 {
	s := float64(r.OccupiedSlots()) / float64(r.Spec.Slots)
	s -= cacheWeight * cachedShare(r, wish.Prefixes)
	if r.Spec.FailureDomain != wish.FailureDomain {
		s += farWeight
	}
	if r.Spec.Kind == config.KindCheap {
		s -= cheapWeight
	}
	if median > 0 && r.InterTokenLatency > slowFactor*median {
		s += slowWeight
	}
	if slices.Contains(wish.FailedReplicas, r.Spec.Name) {
		s += triedWeight
	}
	return s
}

// cachedShare returns the share of the prompt's prefixes that the replica has.
func cachedShare(r *Replica, prefixes []uint64) float64 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if r.Cached(prefixes[i]) {
			return float64(i+1) / float64(len(prefixes))
		}
	}
	return 0
}
