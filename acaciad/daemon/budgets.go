package daemon

import (
	"context"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/retry"
	"acaciapath.example/core/sleep"
	"acaciapath.example/platform"
)

// retryExtra is the number of retries that a daemon has without earning them. With it
// the daemons of a deployment together stay within the limit of the platform.
const retryExtra = 2

// Shares of the allowed retries per request that a daemon uses for retries and for moves of
// runs. The platform counts in windows that begin at any time. Where the requests of a window
// end before its retries begin, three quarters of them are in one that the platform counts.
const (
	retryBudgetShare = 0.5
	moveBudgetShare  = 0.25
)

// maxMoveExtra is the maximum number of moves that a daemon has without earning them.
// It is about the number of long answers that the daemon has running on the cheap engines
// of a failure domain.
const maxMoveExtra = 6

// retryBudget returns this daemon's part of the retries that the platform allows to
// all daemons.
func retryBudget(s platform.Settings) retry.Window {
	return retry.Window{Period: s.RetryWindow, Ratio: s.RetryBudgetRatio * retryBudgetShare, Extra: float64(min(retryExtra, s.RetryBudgetExtra))}
}

// moveBudget returns this daemon's initial budget for moves of runs, which applies
// until the number of daemons is known.
func moveBudget(s platform.Settings) retry.Window {
	return retry.Window{Period: s.RetryWindow, Ratio: s.RetryBudgetRatio * moveBudgetShare, Extra: 1}
}

// moveExtra returns the number of moves that each daemon has without earning them. It
// is the daemon's part of extra, the attempts that the platform allows beyond the
// ratio, less those used for retries.
func moveExtra(extra, daemonCount int) float64 {
	if daemonCount <= 0 {
		return 1
	}
	return min(max(float64(extra)/float64(daemonCount)-retryExtra, 1), maxMoveExtra)
}

// daemonCountInterval is how often the daemon reads the number of daemons.
const daemonCountInterval = time.Second

// followDaemonCount adapts the daemon's budget for moves, and its part of the limits of
// backend servers, to the number of daemons, which is in the row of the lease, until ctx
// is done.
func (d *Daemon) followDaemonCount(ctx context.Context) {
	for last := 0; ctx.Err() == nil; {
		sleep.For(ctx, daemonCountInterval)
		n := d.keeper.Row().Candidates
		d.handler.MoveBudgets.SetExtra(moveExtra(d.settings.RetryBudgetExtra, n))
		if n != last {
			last = n
			d.setPeers(func(p *placement.Peers) { p.Daemons = n })
		}
	}
}

// setPeers changes the daemons among which the limits of backend servers are divided.
func (d *Daemon) setPeers(change func(p *placement.Peers)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.peers)
	d.directory.SetPeers(d.peers, time.Now())
}
