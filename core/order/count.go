package order

import (
	"math"
	"time"

	"acaciapath.example/core/catalog"
)

// ReplicaGroup is what one order is about.
type ReplicaGroup struct {
	// Service is the name of the service.
	Service string
	// FailureDomain is where the replicas run.
	FailureDomain string
	// Cheap says whether the replicas are cheap backend servers.
	Cheap bool
}

// LastOrder is the last order of a subject.
type LastOrder struct {
	// Count is the number that was ordered.
	Count int
	// SentAt is when it was sent, or zero if none was.
	SentAt time.Time
	// NoCapacity says that the platform had none of the kind.
	NoCapacity bool
}

// Shares of the replicas of a service.
const (
	// standardShare is the share of the capacity that stays on standard backend
	// servers, so that the loss of all cheap ones of a failure domain, or of
	// several, leaves it something to serve with.
	standardShare = 0.15
	// cheapFactor is the number of cheap replicas for each standard one that is
	// given back. Cheap ones are a fraction of the price, and some are away at
	// times.
	cheapFactor = 2.5
)

// ReplicaCounts is the number of replicas of a service in a failure domain that do not
// leave.
type ReplicaCounts struct {
	// Standard and Cheap are the numbers by the way in which they were bought.
	Standard, Cheap int
}

// ScalingInputs is what the number of replicas of a service in a failure domain depends
// on.
type ScalingInputs struct {
	// Baseline is the number of standard replicas that was deployed.
	Baseline int
	// Surplus is what is wanted beyond Base, as a share of it.
	Surplus float64
	// CheapUnavailable says that the platform has no cheap ones at present.
	CheapUnavailable bool
	// Present are the replicas that are there.
	Present ReplicaCounts
}

// scarceShare is the share of the base that is wanted beyond it while no cheap
// replicas can be had: a burst can then only be met by what is there.
const scarceShare = 0.5

// DesiredCounts returns the number of replicas of each kind that a service is to have
// in a failure domain. Standard ones are given back only as far as cheap ones
// have come, and are ordered again as soon as the platform takes cheap ones
// away. Both together stay within the bound of the platform, which counts those
// that are there.
func DesiredCounts(s *catalog.Scaling, need ScalingInputs) (standard, cheap int) {
	base := min(max(need.Baseline, s.Min), s.Max)
	surplus := need.Surplus
	if need.CheapUnavailable {
		surplus = max(surplus, scarceShare)
	}
	wanted := min(base+int(math.Ceil(surplus*float64(base))), s.Max)
	if s.CheapPriceRatio <= 0 || s.CheapPriceRatio >= 1 {
		return wanted, 0
	}
	kept := max(int(math.Ceil(standardShare*float64(base))), s.Min)
	standard = min(max(wanted-need.Present.Cheap, kept), s.Max-need.Present.Cheap)
	cheap = int(math.Ceil(cheapFactor * float64(base-kept)))
	return max(standard, s.Min), max(min(cheap, s.Max-max(need.Present.Standard, kept)), 0)
}

// repeatDelay is how long after the boot time of a replica an order is sent
// again whose replicas have not come.
const repeatDelay = 2 * time.Second

// Due reports whether an order is to be sent: the count has changed, fewer are
// present than were ordered a while ago, or the platform had none of the kind a
// moment ago.
func Due(desired, present int, last LastOrder, boot time.Duration, now time.Time) bool {
	switch {
	case last.SentAt.IsZero():
		return true
	case last.NoCapacity:
		return now.Sub(last.SentAt) >= repeatDelay
	case last.Count != desired:
		return true
	}
	return present < desired && now.Sub(last.SentAt) >= boot+repeatDelay
}
