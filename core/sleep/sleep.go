// Package sleep waits for a time that can be cut short.
package sleep

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It returns at once if d ≤ 0.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
