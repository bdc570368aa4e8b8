package daemon

import (
	"context"
	"sync"
)

// taskGroup runs tasks in goroutines until it is stopped.
type taskGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

func newTaskGroup() *taskGroup {
	g := &taskGroup{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// run runs f in a goroutine. The context of f is canceled by stop.
func (g *taskGroup) run(f func(context.Context)) { g.tasks.Go(func() { f(g.ctx) }) }

// stop cancels the tasks and waits until they have returned.
func (g *taskGroup) stop() {
	g.cancel()
	g.tasks.Wait()
}
