package daemon

import (
	"context"
	"time"

	"acaciapath.example/core/sleep"
)

// Times of the watch for pauses.
const (
	// pauseWatch is how often the daemon looks whether it runs.
	pauseWatch = time.Second
	// pauseNoted is the pause beyond which it says that it did not run.
	pauseNoted = 500 * time.Millisecond
)

// watchPauses says when the process did not run for a while, because its VM stood
// still or had no processor time: requests are late then for no other reason.
func (d *Daemon) watchPauses(ctx context.Context) {
	last := time.Now().Round(0)
	for ctx.Err() == nil {
		sleep.For(ctx, pauseWatch)
		if ctx.Err() != nil {
			return
		}
		now := time.Now().Round(0) // the wall clock, since the monotonic one may stand still
		if stood := now.Sub(last) - pauseWatch; stood > pauseNoted || stood < -pauseNoted {
			d.logger.WithField("ms", stood.Milliseconds()).Warn("the process did not run for a while, or the clock was set")
		}
		last = now
	}
}
