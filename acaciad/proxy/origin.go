package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/origin"
)

// findOrigin finds out which version began the stream that the caller takes up again, if it
// does. It returns the refusal if that is not known, or if the route no longer leads to the
// service of the stream.
func (x *exchange) findOrigin(ctx context.Context) *refusal {
	if !x.route.Resumable || x.metadata.LastEventID == "" {
		return nil
	}
	x.stream = origin.StreamID(x.accountName(), x.metadata.Resumes)
	found, known := x.handler.Origins.Lookup(ctx, x.stream, x.service)
	if !known {
		return unknownOrigin
	}
	if !slices.ContainsFunc(x.route.Splits, func(s catalog.Split) bool { return s.Service == found.Service }) {
		return noSuchVersion
	}
	x.service = found.Service
	x.receive(found)
	return nil
}

// awaitStream records that an attempt whose first event would begin a stream is sent, and
// returns a function that records its first event or its end.
func (x *exchange) awaitStream(version string) func() {
	if x.receiving || !x.route.Resumable {
		return func() {}
	}
	awaited := origin.Origin{Service: x.service, Version: version}
	x.handler.Origins.Await(awaited)
	return sync.OnceFunc(func() { x.handler.Origins.EndAwait(awaited, time.Now()) })
}

// beginStream records at the first event from a backend server which version began the
// stream.
func (x *exchange) beginStream(reservation *directory.Reservation) {
	if x.receiving {
		return
	}
	x.stream = origin.StreamID(x.accountName(), x.metadata.AttemptID)
	x.receive(origin.Origin{Service: x.service, Version: reservation.Spec.Version})
	x.requirements.OnlyVersion, x.requirements.Version = true, x.origin.Version
	x.endAwait()
}

// receive records that the caller receives a stream that began at an origin.
func (x *exchange) receive(o origin.Origin) {
	x.origin, x.receiving = o, true
	if x.route.Resumable {
		x.handler.Origins.Begin(x.stream, o, time.Now())
	}
}

// endStream records the end of the stream.
func (x *exchange) endStream(now time.Time) {
	if x.receiving && x.route.Resumable {
		x.handler.Origins.End(x.stream, x.outcome == outcomeServed, now)
	}
}

// accountName returns the name of the client account, or an empty string.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}
