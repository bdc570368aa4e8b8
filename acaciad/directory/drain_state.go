package directory

import (
	"context"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
)

// departure tells whether and when a backend server stops. Each start of a server has
// its own.
type departure struct {
	// ctx is done once the backend server is known to drain.
	ctx    context.Context
	cancel context.CancelFunc
	// stopsAt is when the backend server is expected to stop. It is set before ctx
	// is done.
	stopsAt time.Time
}

func newDeparture() *departure {
	d := &departure{}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// departures holds departures of listed backend servers.
type departures map[*placement.Server]*departure

// of returns the departure of a server and creates it if necessary.
func (d departures) of(s *placement.Server) *departure {
	if d[s] == nil {
		d[s] = newDeparture()
	}
	return d[s]
}

// update starts the departures of servers that drain or are no longer listed, and
// deletes the latter. A server whose entry does not state the time left is expected
// to serve for drainTime.
func (d departures) update(pools map[string]*placement.Pool, drainTime time.Duration, now time.Time) {
	listed := make(map[*placement.Server]bool, len(d))
	for _, pool := range pools {
		for _, s := range pool.Servers {
			listed[s] = true
			if s.Spec.Draining {
				d.of(s).start(s.Spec, drainTime, now)
			}
		}
	}
	for s, known := range d {
		if !listed[s] {
			known.start(s.Spec, drainTime, now)
			delete(d, s)
		}
	}
}

// start records that the server stops after the time left in spec, or after drainTime
// if there is none. Only the first call has an effect.
func (d *departure) start(spec replica.Spec, drainTime time.Duration, now time.Time) {
	if d.ctx.Err() != nil {
		return
	}
	if spec.TimeLeft > 0 {
		drainTime = spec.TimeLeft
	}
	d.stopsAt = now.Add(drainTime)
	d.cancel()
}
