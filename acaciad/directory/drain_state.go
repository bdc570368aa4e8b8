package directory

import (
	"context"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
)

// drainState tells whether a backend server drains and when it stops. A server that is
// started again has a new one.
type drainState struct {
	// ctx is done once the backend server is known to drain.
	ctx    context.Context
	cancel context.CancelFunc
	// stopsAt is when the backend server is expected to stop. It is set before ctx
	// is done.
	stopsAt time.Time
}

func newDrainState() *drainState {
	d := &drainState{}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// drainStates holds the drain states of listed backend servers.
type drainStates map[*placement.Server]*drainState

// of returns the drain state of a server and creates it if necessary.
func (d drainStates) of(s *placement.Server) *drainState {
	if d[s] == nil {
		d[s] = newDrainState()
	}
	return d[s]
}

// update marks servers that drain or are no longer listed as draining, and deletes the
// states of the latter. A server whose entry does not state the time left is expected
// to serve for drainTime.
func (d drainStates) update(pools map[string]*placement.Pool, drainTime time.Duration, now time.Time) {
	listed := make(map[*placement.Server]bool, len(d))
	for _, pool := range pools {
		for _, s := range pool.Servers {
			listed[s] = true
			if s.Spec.Draining {
				d.of(s).markDraining(s.Spec, drainTime, now)
			}
		}
	}
	for s, state := range d {
		if !listed[s] {
			state.markDraining(s.Spec, drainTime, now)
			delete(d, s)
		}
	}
}

// markDraining records that the server drains, and stops after the time left in spec or,
// if spec does not state it, after drainTime. Only the first call has an effect.
func (d *drainState) markDraining(spec replica.Spec, drainTime time.Duration, now time.Time) {
	if d.ctx.Err() != nil {
		return
	}
	if spec.TimeLeft > 0 {
		drainTime = spec.TimeLeft
	}
	d.stopsAt = now.Add(drainTime)
	d.cancel()
}
