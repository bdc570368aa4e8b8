package daemon

import (
	"context"
	"time"

	"acaciapath.example/core/retry"
	"acaciapath.example/core/sleep"
	adapter "acaciapath.example/platform"
)

// retryBurst is the number of retries of one daemon that need not be earned.
// Together the daemons of a deployment stay within what the platform allows.
const retryBurst = 2

// retryPart is the share of the retries allowed for each request that a daemon
// uses, because requests and retries are not counted in the same window.
const retryPart = 0.6

// movePart is the share of the retries allowed for each request that a daemon
// uses to move runs.
const movePart = 0.2

// maxMoveBurst bounds the moves of one daemon that need not be earned: about the
// long answers that it has on the cheap engines of one failure domain.
const maxMoveBurst = 6

// retryBudget returns this daemon's part of the retries that the platform allows
// to all of them.
func retryBudget(s adapter.Settings, now time.Time) retry.Budget {
	share := int(s.RetryBudgetRatio * retryPart * 100)
	burst := float64(min(retryBurst, s.RetryBudgetExtra))
	return retry.Budget{Percent: share, Burst: burst, Available: burst, Updated: now}
}

// moveBudget returns this daemon's part of the retries allowed for moving runs,
// while it does not know how many daemons there are.
func moveBudget(s adapter.Settings, now time.Time) retry.Budget {
	return retry.Budget{Percent: int(s.RetryBudgetRatio * movePart * 100), Burst: 1, Updated: now}
}

// moveBurst returns the number of moves that need not be earned by one of so many
// daemons: its part of what the retries leave.
func moveBurst(extra, daemons int) float64 {
	if daemons <= 0 {
		return 1
	}
	return min(max(float64(extra)/float64(daemons)-retryBurst, 1), maxMoveBurst)
}

// candidatesInterval is how often the daemon looks how many daemons there are.
const candidatesInterval = time.Second

// followCandidates keeps the daemon's part of the moves in step with the number of
// daemons, which the row of the lease tells.
func (d *Daemon) followCandidates(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, candidatesInterval)
		d.handler.MoveBudgets.SetBurst(moveBurst(d.settings.RetryBudgetExtra, d.keeper.Row().Candidates))
	}
}
