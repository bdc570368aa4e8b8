package forwarding

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// stalledTime is how long an attempt on a path that hangs makes no progress before it is abandoned.
const stalledTime = 300 * time.Millisecond

// ErrAbandoned is the cause of the end of an attempt that was abandoned because its path hangs.
var ErrAbandoned = merry.Sentinel("forwarding: the path hangs, abandoned the attempt")

// Watch abandons an attempt that makes no progress once its path hangs. It is safe for concurrent
// use.
type Watch struct {
	// progress is when the attempt made progress last, in nanoseconds of the Unix time.
	progress atomic.Int64
	ctx      context.Context
	cancel   context.CancelCauseFunc
	stop     func() bool
	// mayAbandon reports whether the attempt may be abandoned.
	mayAbandon func() bool
}

// NewWatch starts to watch an attempt on a path that hangs once hanging is done. It returns the
// context of the attempt, which is canceled with ErrAbandoned if the attempt stalls then and
// mayAbandon allows it. The watch must be stopped.
func NewWatch(ctx, hanging context.Context, mayAbandon func() bool, now time.Time) (context.Context, *Watch) {
	w := &Watch{mayAbandon: mayAbandon}
	w.progress.Store(now.UnixNano())
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.stop = context.AfterFunc(hanging, w.abandonIfStalled)
	return w.ctx, w
}

// Progress records that bytes of the answer arrived.
func (w *Watch) Progress(now time.Time) { w.progress.Store(now.UnixNano()) }

// Stop ends the watch and the attempt.
func (w *Watch) Stop() {
	w.stop()
	w.cancel(nil)
}

// Abandoned reports whether the attempt was abandoned.
func (w *Watch) Abandoned() bool { return context.Cause(w.ctx) == ErrAbandoned }

// abandonIfStalled abandons the attempt unless it makes progress.
func (w *Watch) abandonIfStalled() {
	for w.ctx.Err() == nil {
		left := stalledTime - time.Since(time.Unix(0, w.progress.Load()))
		if left <= 0 {
			if w.mayAbandon() {
				w.cancel(ErrAbandoned)
			}
			return
		}
		select {
		case <-time.After(left):
		case <-w.ctx.Done():
		}
	}
}
