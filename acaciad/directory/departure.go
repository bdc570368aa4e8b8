package directory

import (
	"context"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
)

// departure is what is known of the end of one start of a backend server.
type departure struct {
	// ctx ends once the backend server is known to leave.
	ctx context.Context
	end context.CancelFunc
	// at is when it leaves. It is set before ctx ends.
	at time.Time
}

func newDeparture() *departure {
	d := &departure{}
	d.ctx, d.end = context.WithCancel(context.Background())
	return d
}

// departures are those of the backend servers that are listed.
type departures map[*placement.Server]*departure

// of returns the departure of a server.
func (d departures) of(s *placement.Server) *departure {
	if d[s] == nil {
		d[s] = newDeparture()
	}
	return d[s]
}

// update notes which of the listed servers leave, and forgets the others. A
// server that does not say how long it stays is served on for notice.
func (d departures) update(pools map[string]*placement.Pool, notice time.Duration, now time.Time) {
	listed := make(map[*placement.Server]bool, len(d))
	for _, pool := range pools {
		for _, s := range pool.Servers {
			listed[s] = true
			if s.Spec.Draining {
				d.of(s).leave(s.Spec, notice, now)
			}
		}
	}
	for s, known := range d {
		if !listed[s] {
			known.leave(s.Spec, notice, now)
			delete(d, s)
		}
	}
}

// leave notes that the server leaves, once.
func (d *departure) leave(spec replica.Spec, notice time.Duration, now time.Time) {
	if d.ctx.Err() != nil {
		return
	}
	if spec.TimeLeft > 0 {
		notice = spec.TimeLeft
	}
	d.at = now.Add(notice)
	d.end()
}
