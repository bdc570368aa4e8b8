package catalog

import (
	"cmp"
	"slices"
)

// PriorityCount is the number of priorities that model engines distinguish.
const PriorityCount = 10

// urgency orders requests: by the tier that applies to them, and among equal ones by
// the tier of their route.
type urgency struct{ tier, routeTier int }

// compare returns a negative number if u is more urgent than v.
func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.tier, v.tier), cmp.Compare(u.routeTier, v.routeTier))
}

// urgencyOf returns the urgency of a request of route r from account a, which may be
// nil.
func urgencyOf(r *Route, a *Account) urgency { return urgency{Tier(r, a), r.Tier} }

// priorities returns the priority of each urgency that occurs in a catalog. Without
// accounts that have tiers of their own, it is the tier. If more than PriorityCount
// occur, neighbouring ones share a priority.
func priorities(c *Catalog) map[urgency]int {
	var all []urgency
	overridden := slices.ContainsFunc(c.Accounts, func(a Account) bool { return a.Tier != nil })
	for i := range c.Routes {
		all = append(all, urgencyOf(&c.Routes[i], nil))
		for j := range c.Accounts {
			all = append(all, urgencyOf(&c.Routes[i], &c.Accounts[j]))
		}
	}
	slices.SortFunc(all, urgency.compare)
	all = slices.Compact(all)
	byUrgency := make(map[urgency]int, len(all))
	for i, u := range all {
		byUrgency[u] = i * PriorityCount / max(len(all), PriorityCount)
		if !overridden {
			byUrgency[u] = min(max(u.tier, 0), PriorityCount-1)
		}
	}
	return byUrgency
}

// Priority returns the priority at model engines of a request of route r from client
// account a, which may be nil: 0 is the most urgent, PriorityCount - 1 the least. When
// an engine is full or its memory runs out, it preempts the newest of the requests with
// the least urgent priority. If all requests of a client account had the same one, a burst
// of its urgent routes would be preempted for older requests of its other routes.
func (x *Index) Priority(r *Route, a *Account) int { return x.priorities[urgencyOf(r, a)] }
