package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"acaciapath.example/core/config"
)

// Requirements are what a request requires of a replica.
type Requirements struct {
	// FailureDomain is the failure domain of the entry daemon. A replica in
	// another failure domain is at a disadvantage of otherDomainWeight.
	FailureDomain string
	// AllowCheap states that cheap backend servers may be used.
	AllowCheap bool
	// CheapOnly states that no other backend servers may be used.
	CheapOnly bool
	// Prefixes are the hashes of the prefixes of the prompt, shortest first.
	Prefixes []uint64
	// FailedReplicas are the names of the replicas that failed the request.
	// They are used again only if no other replica can be.
	FailedReplicas []string
}

// Weights of the terms of the score of a replica. A weight of 1 is worth as
// much as the load of a fully occupied replica.
const (
	// cacheWeight is the advantage of a replica that has the whole prompt in
	// its cache.
	cacheWeight = 0.5
	// otherDomainWeight is the disadvantage of a replica in another failure
	// domain.
	otherDomainWeight = 0.35
	// cheapWeight is the advantage of a cheap backend server, for a request
	// that may use it.
	cheapWeight = 0.25
	// jitterWeight is the range of the random term, which spreads requests over
	// replicas with nearly equal scores.
	jitterWeight = 0.05
	// stragglerFactor is the multiple of the median inter-token latency above
	// which a replica is a straggler.
	stragglerFactor = 2
	// stragglerWeight is the disadvantage of a straggler.
	stragglerWeight = 1.0
	// failedReplicaWeight is the disadvantage of a replica that failed the
	// request.
	failedReplicaWeight = 4.0
)

// Choose returns the replica on which to run a request, or nil if none can run
// it at present. Only ready replicas with a free slot are considered.
// medianLatency is the median inter-token latency of the replicas, or 0 if it is
// not known.
func Choose(replicas []*Replica, requirements Requirements, medianLatency time.Duration, now time.Time, random *rand.Rand) *Replica {
	var best *Replica
	var bestScore float64
	for _, r := range replicas {
		if !isUsable(r, requirements, now) {
			continue
		}
		score := score(r, requirements, medianLatency) + jitterWeight*random.Float64()
		if best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// MedianInterTokenLatency returns the median of the known inter-token
// latencies, or 0 if none is known. It uses scratch as a buffer and returns it
// for the next call.
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

// isUsable reports whether a replica can run a request with the given
// requirements.
func isUsable(r *Replica, requirements Requirements, now time.Time) bool {
	if r.State(now) != Ready || r.FreeSlots() == 0 {
		return false
	}
	if r.Spec.Kind == config.KindCheap {
		return requirements.AllowCheap
	}
	return !requirements.CheapOnly
}

// score returns the score of a replica for a request; lower is better.
func score(r *Replica, requirements Requirements, medianLatency time.Duration) float64 {
	s := float64(r.OccupiedSlots()) / float64(r.Spec.Slots)
	s -= cacheWeight * cachedShare(r, requirements.Prefixes)
	if r.Spec.FailureDomain != requirements.FailureDomain {
		s += otherDomainWeight
	}
	if r.Spec.Kind == config.KindCheap {
		s -= cheapWeight
	}
	if medianLatency > 0 && r.InterTokenLatency > stragglerFactor*medianLatency {
		s += stragglerWeight
	}
	if slices.Contains(requirements.FailedReplicas, r.Spec.Name) {
		s += failedReplicaWeight
	}
	return s
}

// cachedShare returns the share of the prefixes of a prompt that the replica
// has probably cached.
func cachedShare(r *Replica, prefixes []uint64) float64 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if r.Cached(prefixes[i]) {
			return float64(i+1) / float64(len(prefixes))
		}
	}
	return 0
}
