package proxy

import (
	"context"
	"net/http"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/quarantine"
	"acaciapath.example/core/replica"
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
	return quarantine.RequestID(x.accountName(), x.request.URL.RequestURI(), x.body.Segments()...)
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

// allParts returns what the request may have in common with others: itself and the shared
// parts of its prompt.
func (x *exchange) allParts() []quarantine.Part {
	if x.wholeAndParts == nil {
		whole := quarantine.Part{ID: x.requestKey(), Whole: true}
		x.wholeAndParts = append([]quarantine.Part{whole}, x.sharedParts...)
	}
	return x.wholeAndParts
}

// checkQuarantine returns the refusal for a request that is quarantined, or whose prompt has
// a quarantined part, or nil.
func (x *exchange) checkQuarantine() *refusal {
	if !x.handler.Guard.HasQuarantines() {
		return nil
	}
	now := time.Now()
	refused, refuses := x.handler.Guard.Refuses(x.allParts(), now)
	if !refuses {
		return nil
	}
	reason := "prompt-quarantined"
	if refused.Whole {
		reason = "request-quarantined"
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: reason,
		retryAfter: max(refused.Until.Sub(now), minRetryAfterQuarantine),
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
	parts := x.sharedParts
	if x.handler.Guard.IsSuspicious() {
		parts = x.allParts()
	}
	x.handler.Guard.RecordSound(parts, x.runProgress.sent)
}

// recordRunEnd records what the end of a run tells about the request and the parts of its
// prompt.
func (x *exchange) recordRunEnd(ctx context.Context, reservation *directory.Reservation, status int, r result) {
	p := &x.runProgress
	switch {
	case r == answered && status >= 200 && status < 300:
		x.recordSound()
	case (r == broken || r == truncated) && p.lost && p.events < beginningEvents && ctx.Err() == nil &&
		x.request.Context().Err() == nil && x.outcome != outcomeCallerLeft && x.transmission.Via == "" && !x.wasAbandoned():
		x.recordCrash(reservation.Spec) // a neighbour does that for the requests that it forwards
	}
}

// recordCrash records that the server crashed under the request.
func (x *exchange) recordCrash(server replica.Spec) {
	x.handler.recordCrash(x.metadata.AttemptID, x.allParts(), server)
}

// recordCrash records that a server crashed under a request with parts, unless it still accepts
// connections, so that only the answer was lost, or this VM is cut off from it.
func (h *Handler) recordCrash(id string, parts []quarantine.Part, server replica.Spec) {
	now := time.Now()
	go func() {
		ctx := context.Background()
		if !h.Client.Accepts(server.Address) && !h.pathFails(ctx) && !h.isReachedElsewhere(server.Name, server.Address) {
			h.Guard.RecordCrash(id, parts, server.Instance(), now)
		}
	}()
}
