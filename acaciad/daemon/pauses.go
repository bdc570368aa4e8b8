package daemon

import (
	"context"
	"time"

	"acaciapath.example/core/sleep"
)

// Parameters of logProcessPauses.
const (
	// pauseCheckInterval is how often the daemon checks for a pause.
	pauseCheckInterval = time.Second
	// minLoggedPause is the shortest pause that is logged.
	minLoggedPause = 500 * time.Millisecond
)

// logProcessPauses logs when the process was paused, because its VM was suspended or had
// no CPU time. This explains slow requests that have no other cause. It returns when ctx
// is done.
func (d *Daemon) logProcessPauses(ctx context.Context) {
	last := time.Now().Round(0)
	for ctx.Err() == nil {
		sleep.For(ctx, pauseCheckInterval)
		if ctx.Err() != nil {
			return
		}
		now := time.Now().Round(0) // the wall clock, since the monotonic clock may stop during a suspension
		if pause := now.Sub(last) - pauseCheckInterval; pause > minLoggedPause || pause < -minLoggedPause {
			d.logger.WithField("ms", pause.Milliseconds()).Warn("process was paused, or the wall clock was changed")
		}
		last = now
	}
}
