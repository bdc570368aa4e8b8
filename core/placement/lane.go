package placement

import (
	"time"

	"acaciapath.example/core/catalog"
)

// Lane is a kind of requests that has servers of its own.
type Lane int

// The lanes.
const (
	// Patient is the lane of long prompts.
	Patient Lane = iota
	// Urgent is the lane of long prompts with the tightest latency objective of
	// their service. An engine reads prompts in the order in which it admitted
	// them; in a burst of patient ones, urgent ones would be late behind them.
	Urgent
	// ShortPauses is the lane of streams that allow only short pauses.
	ShortPauses
)

// String returns the lane as logs name it.
func (l Lane) String() string { return [...]string{"patient", "urgent", "short-pauses"}[l] }

// Shares are the shares of a service's servers that are kept for lanes; the rest
// is for patient requests.
type Shares struct {
	// ShortPauses and Urgent are the shares. Both are ≥ 0, and their sum is < 1.
	ShortPauses, Urgent float64
}

// Shares of the servers, where a service runs requests of several lanes.
const (
	defaultShortShare  = 0.2
	defaultUrgentShare = 0.2
)

// urgentFactor is how much larger than the tightest latency objective another one
// must be for its requests to be patient.
const urgentFactor = 1.5

// readingStep is how long a token takes while a model engine reads a prompt of
// usual length beside it: a chunk of 2,048 tokens at some 50 tokens per
// millisecond, the step's own time and the attention to the tokens before.
const readingStep = 60 * time.Millisecond

// pauseMargin is the factor by which the pause that a stream allows must exceed
// the pause that a prompt beside it causes.
const pauseMargin = 1.2

// NeedsShortPauses reports whether the pauses that streams of a route allow are so
// short that long prompts beside them make them late.
func NeedsShortPauses(r *catalog.Route, s *catalog.Service) bool {
	if !r.Generates || r.GapTarget <= 0 || s == nil || s.Engine == nil {
		return false
	}
	pause := float64(s.Engine.EventTokens) * float64(readingStep) * pauseMargin
	return float64(r.GapTarget) < pause
}

// LaneOf returns the lane of a route's requests at a service.
func LaneOf(x *catalog.Index, r *catalog.Route, s *catalog.Service) Lane {
	switch {
	case s == nil || !r.Generates:
		return Patient
	case NeedsShortPauses(r, s):
		return ShortPauses
	}
	for i := range x.Catalog.Routes {
		other := &x.Catalog.Routes[i]
		if !other.Generates || !runsOn(other, s.Name) || NeedsShortPauses(other, s) {
			continue
		}
		if float64(other.LatencyTarget) > urgentFactor*float64(r.LatencyTarget) {
			return Urgent
		}
	}
	return Patient
}

// SharesOf returns the shares of a service's servers that are kept for lanes:
// none for a lane without requests.
func SharesOf(x *catalog.Index, service string) Shares {
	s := x.Service(service)
	var used [ShortPauses + 1]bool
	lanes := 0
	for i := range x.Catalog.Routes {
		r := &x.Catalog.Routes[i]
		if s == nil || !r.Generates || !runsOn(r, service) {
			continue
		}
		if lane := LaneOf(x, r, s); !used[lane] {
			used[lane] = true
			lanes++
		}
	}
	var shares Shares
	if lanes < 2 {
		return shares
	}
	if used[ShortPauses] {
		shares.ShortPauses = defaultShortShare
	}
	if used[Urgent] {
		shares.Urgent = defaultUrgentShare
	}
	return shares
}

func runsOn(r *catalog.Route, service string) bool {
	for _, s := range r.Splits {
		if s.Service == service {
			return true
		}
	}
	return false
}
