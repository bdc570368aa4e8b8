package soak_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"acaciapath.example/core/sleep"
	"acaciapath.example/platform/standin"
	"acaciapath.example/standin/relay"
)

// storm injects faults in an order that its seed fixes. Faults overlap.
type storm struct {
	world  *world
	random *rand.Rand
	group  sync.WaitGroup
	// history is what was done, for the report of a failure.
	history []string
	began   time.Time
	// second says whether the second key is declared.
	second bool
	down   map[*vm]bool
	mu     sync.Mutex // guards down
}

func newStorm(w *world, seed uint64) *storm {
	return &storm{
		world: w, random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), second: true, down: make(map[*vm]bool),
	}
}

// run injects faults until ctx ends, then ends all of them.
func (s *storm) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.next(ctx)
		sleep.For(ctx, s.milliseconds(100, 700))
	}
	s.group.Wait()
	s.world.store.SetFault(nil)
	s.world.store.ApplyLate()
	for _, server := range s.world.servers {
		server.SetResponseMode(standin.Normal)
		server.link.SetFaults(relay.Faults{})
		server.SetLeaving(0)
		s.world.register(server, "ready")
	}
}

func (s *storm) milliseconds(least, most int) time.Duration {
	return time.Duration(least+s.random.IntN(most-least)) * time.Millisecond
}

func (s *storm) note(text string) {
	s.history = append(s.history, time.Since(s.began).Round(time.Millisecond).String()+" "+text)
}

// next injects one fault.
func (s *storm) next(ctx context.Context) {
	v := s.world.vms[s.random.IntN(len(s.world.vms))]
	b := s.world.servers[s.random.IntN(len(s.world.servers))]
	span := s.milliseconds(300, 2000)
	switch s.random.IntN(12) {
	case 0:
		s.restart(v, syscall.SIGTERM)
	case 1:
		s.restart(v, syscall.SIGKILL)
	case 2:
		s.freeze(ctx, v, span)
	case 3:
		s.hangUp(v)
	case 4, 5:
		s.link(ctx, v.name+" to the store", v.store, span)
	case 6:
		s.link(ctx, "link to "+b.ID, b.link, span)
	case 7, 8:
		s.manner(ctx, b, span)
	case 9:
		s.store(ctx, span)
	case 10:
		s.second = !s.second
		s.note("configuration")
		s.world.declare(s.second)
	case 11:
		s.leave(ctx, b, span)
	}
}

// hangUp tells a daemon to read its settings anew. One that has no handler yet, within
// its first milliseconds, ends by it and is started again, as the platform does.
func (s *storm) hangUp(v *vm) {
	s.note("hangup " + v.name)
	v.signal(syscall.SIGHUP)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[v] {
		return
	}
	s.down[v] = true
	s.group.Go(func() {
		select {
		case <-v.exited:
			_ = v.start(s.world.binary) // a daemon that does not start shows in the checks
		case <-time.After(hangUpWatch):
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down[v] = false
	})
}

// hangUpWatch is how long after a hangup a daemon that has no handler has ended.
const hangUpWatch = 100 * time.Millisecond

// restart ends a daemon and starts it again, unless it is down already.
func (s *storm) restart(v *vm, signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[v] {
		return
	}
	s.down[v] = true
	s.note(signal.String() + " " + v.name)
	v.signal(signal)
	s.group.Go(func() {
		select {
		case <-v.exited:
		case <-time.After(grace + time.Second):
			v.signal(syscall.SIGKILL)
			<-v.exited
		}
		_ = v.start(s.world.binary) // a daemon that does not start shows in the checks
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down[v] = false
	})
}

func (s *storm) freeze(ctx context.Context, v *vm, span time.Duration) {
	s.note("freeze " + v.name + " " + span.String())
	v.signal(syscall.SIGSTOP)
	s.group.Go(func() {
		sleep.For(ctx, span)
		v.signal(syscall.SIGCONT)
	})
}

// link cuts, freezes, delays or resets a link.
func (s *storm) link(ctx context.Context, name string, r *relay.Relay, span time.Duration) {
	kind := s.random.IntN(6)
	names := []string{"cut", "cut towards", "cut back", "frozen", "delayed", "reset"}
	s.note(names[kind] + ": " + name + " " + span.String())
	switch kind {
	case 0:
		r.SetFaults(relay.Faults{CutForward: true, CutBack: true})
	case 1:
		r.SetFaults(relay.Faults{CutForward: true})
	case 2:
		r.SetFaults(relay.Faults{CutBack: true})
	case 3:
		r.SetFaults(relay.Faults{Frozen: true})
	case 4:
		r.SetFaults(relay.Faults{Delay: 100 * time.Millisecond})
	case 5:
		r.Reset()
		return
	}
	s.group.Go(func() {
		sleep.For(ctx, span)
		r.SetFaults(relay.Faults{})
	})
}

func (s *storm) manner(ctx context.Context, b *server, span time.Duration) {
	last := standin.Hangs
	if b.service == "shop" {
		last = standin.Malformed
	}
	m := standin.ResponseMode(1 + s.random.IntN(int(last)))
	s.note(b.ID + " has a manner " + span.String())
	b.SetResponseMode(m)
	s.group.Go(func() {
		sleep.For(ctx, span)
		b.SetResponseMode(standin.Normal)
	})
}

// store makes the store fail calls in one way, or forget its history.
func (s *storm) store(ctx context.Context, span time.Duration) {
	fault := standin.Fault(s.random.IntN(int(standin.AppliedLate) + 1))
	s.note("store " + span.String())
	if fault == standin.NoFault {
		s.world.store.DropHistory()
		return
	}
	seed := s.random.Uint64()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	s.world.store.SetFault(func(method, path string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		writing := method == http.MethodPost && strings.HasSuffix(path, "tx")
		if random.IntN(2) == 0 || !writing && (fault == standin.ReplyLost || fault == standin.AppliedLate) {
			return standin.NoFault
		}
		return fault
	})
	s.group.Go(func() {
		sleep.For(ctx, span)
		s.world.store.SetFault(nil)
		s.world.store.ApplyLate()
	})
}

// leave has a backend server say that it leaves, cuts what runs there when it is
// gone, and has it come back later.
func (s *storm) leave(ctx context.Context, b *server, span time.Duration) {
	s.note(b.ID + " leaves " + span.String())
	b.SetLeaving(span)
	s.world.register(b, "draining")
	s.group.Go(func() {
		sleep.For(ctx, span)
		s.world.store.Remove("servers", b.ID)
		b.link.Reset()
		sleep.For(ctx, span)
		b.SetLeaving(0)
		s.world.register(b, "ready")
	})
}
