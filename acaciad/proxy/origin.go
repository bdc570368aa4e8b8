package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/origin"

	"github.com/sirupsen/logrus"
)

// pickService picks the service that runs the request. All attempts of a stream that can be
// taken up again go to the same one, unless the weights of the route change.
func (x *exchange) pickService() string {
	if !x.route.Resumable {
		return x.handler.Directory.PickService(x.route, x.homes())
	}
	first := x.metadata.AttemptID
	if x.takesUp() {
		first = x.metadata.Resumes
	}
	x.stream = origin.StreamID(x.accountName(), first)
	return x.route.PickService(rand.New(rand.NewPCG(uint64(x.stream), 0)))
}

// takesUp reports whether the caller takes a stream up again.
func (x *exchange) takesUp() bool { return x.route.Resumable && x.metadata.LastEventID != "" }

// findOrigin finds out which version began the stream that the caller takes up again, or is to
// begin a new one. It returns the refusal if that is not known, or if the route no longer leads
// to the service of the stream.
func (x *exchange) findOrigin(ctx context.Context) *refusal {
	if !x.route.Resumable {
		return nil
	}
	x.pickedService = x.service
	if !x.takesUp() {
		x.plannedVersion, x.planned = x.handler.Origins.Choose(ctx, x.service, x.stream)
		x.origin.Version = x.plannedVersion
		return nil
	}
	found, known, err := x.handler.Origins.Lookup(ctx, x.stream, x.service, x.arrived.Add(-origin.Memory))
	switch {
	case err != nil:
		return originNotKnownYet
	case !known:
		return unknownOrigin
	}
	if !slices.ContainsFunc(x.route.Splits, func(s catalog.Split) bool { return s.Service == found.Service }) {
		return noSuchVersion
	}
	x.service, x.receiving = found.Service, true
	x.beginStream(found)
	return nil
}

// mayBegin reports whether the request may be sent to the server of a reservation. Others believe
// that a new stream begins at the planned version, also if this VM is cut off and the version has
// servers that are not listed here, so that it begins at another one only once they can read that.
// The plan may have changed since the version was chosen.
func (x *exchange) mayBegin(ctx context.Context, reservation *directory.Reservation) bool {
	version := reservation.Spec.Version
	if !x.planned || x.receiving || version == x.plannedVersion && !x.handler.Origins.PlansOther(x.service, x.stream, version) {
		return true
	}
	x.beginStream(origin.Origin{Service: x.service, Version: version})
	if x.handler.Origins.AwaitReport(ctx, time.Now()) {
		return true
	}
	x.handler.Logger.WithFields(logrus.Fields{
		"request-id": x.metadata.AttemptID, "service": x.service, "planned": x.plannedVersion, "version": version,
	}).Info("stream not begun: others believe that it begins at another version and cannot be told")
	return false
}

// beginStream records where the stream began, or is about to begin.
func (x *exchange) beginStream(o origin.Origin) {
	if x.recorded && x.origin == o {
		return
	}
	x.endStream(time.Now())
	x.origin, x.recorded = o, true
	x.handler.Origins.Begin(x.stream, x.pickedService, o, time.Now())
}

// endStream records the end of the stream.
func (x *exchange) endStream(now time.Time) {
	if x.recorded {
		x.recorded = false
		x.handler.Origins.End(x.stream, !x.receiving || x.outcome == outcomeServed, now)
	}
}

// bindToVersion binds the stream to the version of its first event.
func (x *exchange) bindToVersion(reservation *directory.Reservation) {
	x.receiving = true
	x.requirements.OnlyVersion, x.requirements.Version = true, reservation.Spec.Version
}

// accountName returns the name of the client account, or an empty string.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}
