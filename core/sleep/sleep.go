package sleep

import (
	"context"
	"time"
)

// For waits for d or until ctx is done, whichever comes first. It returns
// immediately if d ≤ 0.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
