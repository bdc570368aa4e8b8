package placement

import (
	"time"

	"acaciapath.example/core/catalog"
)

// readingStep is how long a token takes while a model engine reads a prompt of
// usual length beside it: a chunk of 2,048 tokens at some 50 tokens per
// millisecond, the step's own time and the attention to the tokens before.
const readingStep = 60 * time.Millisecond

// pauseMargin is the factor by which the pause that a stream allows must exceed
// the pause that a prompt beside it causes.
const pauseMargin = 1.2

// defaultShortShare is the share of the servers kept for requests with short
// pauses, where a service runs both kinds.
const defaultShortShare = 0.3

// ShortPauses reports whether the pauses that streams of a route allow are so
// short that long prompts beside them make them late.
func ShortPauses(r *catalog.Route, s *catalog.Service) bool {
	if !r.Generates || r.GapTarget <= 0 || s == nil || s.Engine == nil {
		return false
	}
	pause := float64(s.Engine.EventTokens) * float64(readingStep) * pauseMargin
	return float64(r.GapTarget) < pause
}

// ShortShare returns the share of a service's servers that is kept for requests
// with short pauses: none unless it runs requests of both kinds.
func ShortShare(x *catalog.Index, service string) float64 {
	s := x.Service(service)
	short, long := false, false
	for i := range x.Catalog.Routes {
		r := &x.Catalog.Routes[i]
		if !r.Generates || !runsOn(r, service) {
			continue
		}
		if ShortPauses(r, s) {
			short = true
		} else {
			long = true
		}
	}
	if short && long {
		return defaultShortShare
	}
	return 0
}

func runsOn(r *catalog.Route, service string) bool {
	for _, s := range r.Splits {
		if s.Service == service {
			return true
		}
	}
	return false
}
