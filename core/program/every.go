package program

import (
	"context"
	"time"
)

// Every calls f immediately and then at every interval until ctx is done. If f
// takes longer than interval, the next call follows immediately and the other
// calls that were missed are dropped.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
