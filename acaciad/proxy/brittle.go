package proxy

import (
	"context"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

const (
	// patienceRatio is the share of a route's latency target within which room at brittle servers
	// must be expected for a request to wait for it. Up to it, holding a request costs nothing.
	patienceRatio = 0.125
	// minPatience is the least such time.
	minPatience = 200 * time.Millisecond
)

// awaitRoom reserves a slot on a brittle server as soon as there is room. It returns nil if there
// is none in time, or if the servers are not brittle.
func (x *exchange) awaitRoom(ctx context.Context) *directory.Reservation {
	if x.waited {
		return nil
	}
	x.waited = true
	patience := max(time.Duration(patienceRatio*float64(x.route.LatencyTarget)), minPatience)
	return x.handler.Directory.ReserveWithin(ctx, x.service, x.requirements, patience)
}

// recordBrittle records whether the answer to the request says that the backend server is brittle.
func (x *exchange) recordBrittle(reservation *directory.Reservation, info platform.ResponseInfo) {
	begun, ended := reservation.HearBrittle(info.Brittle, info.Rejections, info.NotExecuted, time.Now())
	entry := x.handler.Logger.WithFields(logrus.Fields{"service": x.service, "backend-server": reservation.Spec.Instance()})
	if begun {
		entry.WithField("rejections-per-second", info.Rejections).
			Info("backend servers say that they are brittle, using this daemon's part of their slots")
	}
	if ended {
		entry.Info("backend servers no longer say that they are brittle, using all their slots")
	}
}
