package proxy

import (
	"context"
	"net/http"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/quarantine"
)

// A run of a prompt on which engines crash breaks off as soon as it begins to answer.
const (
	// beginningEvents is the number of events from which a run that breaks off is no
	// longer in its beginning.
	beginningEvents = 8
	// beginningTime is the time since its first event, from which a run with as many
	// events has survived its beginning.
	beginningTime = time.Second
)

// runProgress is the progress of one run on a backend server.
type runProgress struct {
	// sent is when the request was sent.
	sent time.Time
	// events is the number of complete events, and firstEvent the time of the first one.
	events     int
	firstEvent time.Time
	// lost states that the connection to the backend server ended early.
	lost bool
	// survived states that the run has been recorded as sound.
	survived bool
}

// requestKey identifies the request, also when it is sent again.
func (x *exchange) requestKey() uint64 {
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	return quarantine.RequestID(account, x.request.URL.RequestURI(), x.body)
}

// newSharedParts returns the parts of the prompt that other requests may share, for a
// request that generates.
func (x *exchange) newSharedParts() []quarantine.Part {
	if !x.requirements.Generates {
		return nil
	}
	shared := x.metadata.Work.SharedParts()
	parts := make([]quarantine.Part, len(shared))
	for i, p := range shared {
		parts[i] = quarantine.Part{ID: p.ID, Depth: i}
	}
	return parts
}

// checkQuarantine returns the refusal for a request whose prompt has a quarantined part, or
// nil.
func (x *exchange) checkQuarantine() *refusal {
	if len(x.sharedParts) == 0 {
		return nil
	}
	now := time.Now()
	until, refuses := x.handler.Guard.Refuses(x.sharedParts, now)
	if !refuses {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "prompt-quarantined",
		retryAfter: max(until.Sub(now), minRetryAfterQuarantine),
	}
}

// recordEvents records events of the current run.
func (x *exchange) recordEvents(count int, now time.Time) {
	p := &x.runProgress
	if p.events == 0 {
		p.firstEvent = now
	}
	p.events += count
	if !p.survived && p.events >= beginningEvents && now.Sub(p.firstEvent) >= beginningTime {
		x.recordSound()
	}
}

// recordSound records that the current run has survived its beginning.
func (x *exchange) recordSound() {
	if x.runProgress.survived {
		return
	}
	x.runProgress.survived = true
	x.handler.Guard.RecordSound(x.sharedParts, x.runProgress.sent)
}

// recordRunEnd records what the end of a run tells about the parts of its prompt.
func (x *exchange) recordRunEnd(ctx context.Context, reservation *directory.Reservation, status int, r result) {
	p := &x.runProgress
	switch {
	case len(x.sharedParts) == 0:
	case r == answered && status >= 200 && status < 300:
		x.recordSound()
	case (r == broken || r == truncated) && p.lost && p.events < beginningEvents && ctx.Err() == nil &&
		x.request.Context().Err() == nil && x.outcome != outcomeCallerLeft:
		x.handler.Guard.RecordCrash(x.metadata.AttemptID, x.sharedParts, reservation.Spec.Instance(), time.Now())
	}
}
