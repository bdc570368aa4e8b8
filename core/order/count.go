package order

import (
	"math"
	"time"

	"acaciapath.example/core/catalog"
)

// ReplicaGroup identifies the replicas whose number one order sets.
type ReplicaGroup struct {
	// Service is the name of the service.
	Service string
	// FailureDomain is where the replicas run.
	FailureDomain string
	// Cheap reports whether the replicas are cheap backend servers.
	Cheap bool
}

// LastOrder is the most recent order for a ReplicaGroup.
type LastOrder struct {
	// Count is the number of replicas that was ordered.
	Count int
	// SentAt is when the order was sent, or zero if none was sent.
	SentAt time.Time
	// NoCapacity reports whether the platform had no backend servers of the kind.
	NoCapacity bool
}

const (
	// minStandardShare is the share of the baseline that stays on standard backend
	// servers, so that some capacity is left if a failure domain, or several,
	// lose all their cheap backend servers.
	minStandardShare = 0.15
	// cheapPerStandard is the number of cheap replicas ordered for each standard
	// replica released. Cheap replicas cost a fraction of the price, and some of
	// them are unavailable at times.
	cheapPerStandard = 2.5
)

// ReplicaCounts is the number of replicas of a service in a failure domain,
// without those that are draining.
type ReplicaCounts struct {
	// Standard and Cheap are the numbers by purchase kind.
	Standard, Cheap int
}

// ScalingInputs are the inputs of DesiredCounts for a service in a failure
// domain.
type ScalingInputs struct {
	// Baseline is the number of standard replicas that the operator deployed.
	Baseline int
	// Surplus is the capacity wanted beyond Baseline, as a share of Baseline.
	Surplus float64
	// CheapUnavailable reports whether the platform currently has no cheap
	// backend servers.
	CheapUnavailable bool
	// Present counts the current replicas.
	Present ReplicaCounts
}

// noCheapSurplus is the minimum surplus, as a share of the baseline, while no
// cheap replicas are available: a burst can then only be served by replicas that
// already run.
const noCheapSurplus = 0.5

// DesiredCounts returns the number of replicas of each kind that a service should
// have in a failure domain. Standard replicas are released only as cheap ones
// arrive to replace them, and are ordered again as soon as the platform evicts
// cheap ones. Each count, added to the current replicas of the other kind, stays
// within s.Max, because the platform counts the current replicas against its
// limit; s.Min standard replicas are returned even if that exceeds s.Max. If the
// service has no cheap replicas at a lower price, cheap is 0.
func DesiredCounts(s *catalog.Scaling, in ScalingInputs) (standard, cheap int) {
	baseline := min(max(in.Baseline, s.Min), s.Max)
	surplus := in.Surplus
	if in.CheapUnavailable {
		surplus = max(surplus, noCheapSurplus)
	}
	desired := min(baseline+int(math.Ceil(surplus*float64(baseline))), s.Max)
	if s.CheapPriceRatio <= 0 || s.CheapPriceRatio >= 1 {
		return desired, 0
	}
	minStandard := max(int(math.Ceil(minStandardShare*float64(baseline))), s.Min)
	standard = min(max(desired-in.Present.Cheap, minStandard), s.Max-in.Present.Cheap)
	cheap = int(math.Ceil(cheapPerStandard * float64(baseline-minStandard)))
	return max(standard, s.Min), max(min(cheap, s.Max-max(in.Present.Standard, minStandard)), 0)
}

// resendDelay is how long after the boot time of a replica an order is sent again
// if its replicas have not arrived. An order that found no capacity is sent again
// after resendDelay alone.
const resendDelay = 2 * time.Second

// IsDue reports whether an order has to be sent: none was sent yet, the desired
// count has changed, replicas of the last order have not arrived in time, or the
// platform had no capacity and resendDelay has passed since.
func IsDue(desired, present int, last LastOrder, boot time.Duration, now time.Time) bool {
	switch {
	case last.SentAt.IsZero():
		return true
	case last.NoCapacity:
		return now.Sub(last.SentAt) >= resendDelay
	case last.Count != desired:
		return true
	}
	return present < desired && now.Sub(last.SentAt) >= boot+resendDelay
}
