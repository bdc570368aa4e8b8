package daemon

import (
	"context"
	"sync"
)

// work is what goes on until it is stopped.
type work struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newWork() *work {
	w := &work{}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// run runs f until the work is stopped.
func (w *work) run(f func(context.Context)) { w.group.Go(func() { f(w.ctx) }) }

// stop stops the work and waits for its end.
func (w *work) stop() {
	w.cancel()
	w.group.Wait()
}
