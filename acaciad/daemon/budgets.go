package daemon

import (
	"context"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/retry"
	"acaciapath.example/core/sleep"
	"acaciapath.example/platform"
)

// retryBurst is the number of retries that a daemon has without earning them. With it
// the daemons of a deployment together stay within the limit of the platform.
const retryBurst = 2

// retryBudgetShare is the share of the allowed retries per request that a daemon uses
// for retries. It uses less than all of them, because the platform may count a request
// and its retry in different windows.
const retryBudgetShare = 0.6

// moveBudgetShare is the share of the allowed retries per request that a daemon uses
// for moves of runs.
const moveBudgetShare = 0.2

// maxMoveBurst is the maximum number of moves that a daemon has without earning them.
// It is about the number of long answers that the daemon has running on the cheap engines
// of a failure domain.
const maxMoveBurst = 6

// retryBudget returns this daemon's part of the retries that the platform allows to
// all daemons.
func retryBudget(s platform.Settings, now time.Time) retry.Budget {
	percent := int(s.RetryBudgetRatio * retryBudgetShare * 100)
	burst := float64(min(retryBurst, s.RetryBudgetExtra))
	return retry.Budget{Percent: percent, Burst: burst, Available: burst, Updated: now}
}

// moveBudget returns this daemon's initial budget for moves of runs, which applies
// until the number of daemons is known.
func moveBudget(s platform.Settings, now time.Time) retry.Budget {
	return retry.Budget{Percent: int(s.RetryBudgetRatio * moveBudgetShare * 100), Burst: 1, Updated: now}
}

// moveBurst returns the number of moves that each daemon has without earning them. It
// is the daemon's part of extra, the attempts that the platform allows beyond the
// ratio, less those used for retries.
func moveBurst(extra, daemonCount int) float64 {
	if daemonCount <= 0 {
		return 1
	}
	return min(max(float64(extra)/float64(daemonCount)-retryBurst, 1), maxMoveBurst)
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
		d.handler.MoveBudgets.SetBurst(moveBurst(d.settings.RetryBudgetExtra, n))
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
