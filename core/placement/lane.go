package placement

import (
	"time"

	"acaciapath.example/core/catalog"
)

// Lane is a group of requests that has servers of its own.
type Lane int

const (
	// Patient is the lane of long prompts without a tight latency objective.
	Patient Lane = iota
	// Urgent is the lane of long prompts with the tightest latency objective of
	// their service, and of streams that allow only short pauses but much longer
	// ones than the streams in ShortPauses. Engines process prompts in the order
	// in which they admit them, so urgent prompts behind a burst of patient ones
	// would be late.
	Urgent
	// ShortPauses is the lane of streams that allow the shortest pauses between
	// events of their service.
	ShortPauses
)

// String returns the name of the lane in logs.
func (l Lane) String() string { return [...]string{"patient", "urgent", "short-pauses"}[l] }

// Shares are the shares of the servers of a service that are reserved for
// lanes. The rest is for patient requests.
type Shares struct {
	// Both shares are ≥ 0, and their sum is < 1.
	ShortPauses, Urgent float64
	// UrgentAtMost states that the share Urgent is rounded down in each failure domain. It has
	// only streams that can also run on the servers for short pauses.
	UrgentAtMost bool
}

// Shares of the servers for services with requests of several lanes.
const (
	defaultShortPausesShare = 0.2
	defaultUrgentShare      = 0.2
)

// A request is urgent if the latency objective of another route of its service
// is more than urgentFactor times as large.
const urgentFactor = 1.5

// prefillStepTime is the duration of an engine step, and so the time between
// tokens of a stream, while the engine processes a prompt of usual length
// beside the stream. It covers a chunk of 2,048 prompt tokens at about 50
// tokens per millisecond, the time of the step itself and the attention to the
// preceding tokens.
const prefillStepTime = 60 * time.Millisecond

// pauseMargin is the factor by which the pause that a stream allows must exceed
// the pause that a prompt beside it causes.
const pauseMargin = 1.2

// NeedsShortPauses reports whether the streams of a route allow only pauses so
// short that long prompts on the same server would make them late.
func NeedsShortPauses(r *catalog.Route, s *catalog.Service) bool {
	if !r.Generates || r.GapTarget <= 0 || s == nil || s.Engine == nil {
		return false
	}
	pause := float64(s.Engine.EventTokens) * float64(prefillStepTime) * pauseMargin
	return float64(r.GapTarget) < pause
}

// pauseGroupFactor bounds the ratio of the pauses that the routes of the lane ShortPauses
// allow. A stream that allows a longer one usually also has longer prompts, which would make
// the others late.
const pauseGroupFactor = 1.5

// LaneOf returns the lane of the requests of a route at a service.
func LaneOf(index *catalog.Index, r *catalog.Route, s *catalog.Service) Lane {
	if s == nil || !r.Generates {
		return Patient
	}
	if NeedsShortPauses(r, s) {
		if float64(r.GapTarget) <= pauseGroupFactor*float64(shortestPause(index, s)) {
			return ShortPauses
		}
		return Urgent
	}
	for i := range index.Catalog.Routes {
		other := &index.Catalog.Routes[i]
		if !other.Generates || !runsOn(other, s.Name) || NeedsShortPauses(other, s) {
			continue
		}
		if float64(other.LatencyTarget) > urgentFactor*float64(r.LatencyTarget) {
			return Urgent
		}
	}
	return Patient
}

// shortestPause returns the shortest pause that a route with streams at a service allows, or
// 0 if no route limits it.
func shortestPause(index *catalog.Index, s *catalog.Service) time.Duration {
	var shortest time.Duration
	for i := range index.Catalog.Routes {
		r := &index.Catalog.Routes[i]
		if r.Generates && r.GapTarget > 0 && runsOn(r, s.Name) && (shortest == 0 || r.GapTarget < shortest) {
			shortest = r.GapTarget
		}
	}
	return shortest
}

// SharesOf returns the shares of the servers of a service that are reserved for
// lanes. The share of a lane without requests is 0; all shares are 0 if the
// service has requests of only one lane.
func SharesOf(index *catalog.Index, service string) Shares {
	s := index.Service(service)
	var used [ShortPauses + 1]bool
	lanes, urgentByLatency := 0, false
	for i := range index.Catalog.Routes {
		r := &index.Catalog.Routes[i]
		if s == nil || !r.Generates || !runsOn(r, service) {
			continue
		}
		lane := LaneOf(index, r, s)
		if !used[lane] {
			used[lane] = true
			lanes++
		}
		urgentByLatency = urgentByLatency || lane == Urgent && !NeedsShortPauses(r, s)
	}
	var shares Shares
	if lanes < 2 {
		return shares
	}
	shares.UrgentAtMost = used[Urgent] && !urgentByLatency
	if used[ShortPauses] {
		shares.ShortPauses = defaultShortPausesShare
	}
	if used[Urgent] {
		shares.Urgent = defaultUrgentShare
	}
	return shares
}

// runsOn reports whether a route sends requests to a service.
func runsOn(r *catalog.Route, service string) bool {
	for _, s := range r.Splits {
		if s.Service == service {
			return true
		}
	}
	return false
}
