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

// faultInjector injects faults in an order that is determined by its seed. Faults may
// overlap.
type faultInjector struct {
	cluster *cluster
	random  *rand.Rand
	group   sync.WaitGroup
	// history lists the injected faults, for the report of a failure.
	history []string
	began   time.Time
	// secondKey states that the configuration has the second key.
	secondKey  bool
	restarting map[*vm]bool
	mu         sync.Mutex // guards restarting
}

func newFaultInjector(w *cluster, seed uint64) *faultInjector {
	return &faultInjector{
		cluster: w, random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), secondKey: true, restarting: make(map[*vm]bool),
	}
}

// run injects faults until ctx is done, and then clears all of them.
func (s *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.injectFault(ctx)
		sleep.For(ctx, s.randomMilliseconds(100, 700))
	}
	s.group.Wait()
	s.cluster.store.SetFault(nil)
	s.cluster.store.ApplyLate()
	for _, server := range s.cluster.servers {
		server.SetResponseMode(standin.Normal)
		server.link.SetFaults(relay.Faults{})
		server.SetLeaving(0)
		s.cluster.register(server, "ready")
	}
}

// randomMilliseconds returns a random duration from minimum to below maximum, in
// milliseconds.
func (s *faultInjector) randomMilliseconds(minimum, maximum int) time.Duration {
	return time.Duration(minimum+s.random.IntN(maximum-minimum)) * time.Millisecond
}

// record adds a line to the history.
func (s *faultInjector) record(text string) {
	s.history = append(s.history, time.Since(s.began).Round(time.Millisecond).String()+" "+text)
}

// injectFault injects one fault.
func (s *faultInjector) injectFault(ctx context.Context) {
	v := s.cluster.vms[s.random.IntN(len(s.cluster.vms))]
	b := s.cluster.servers[s.random.IntN(len(s.cluster.servers))]
	duration := s.randomMilliseconds(300, 2000)
	switch s.random.IntN(12) {
	case 0:
		s.restart(v, syscall.SIGTERM)
	case 1:
		s.restart(v, syscall.SIGKILL)
	case 2:
		s.freeze(ctx, v, duration)
	case 3:
		s.sendHangup(v)
	case 4, 5:
		s.breakLink(ctx, v.name+" to the store", v.storeLink, duration)
	case 6:
		s.breakLink(ctx, "link to "+b.ID, b.link, duration)
	case 7, 8:
		s.setResponseMode(ctx, b, duration)
	case 9:
		s.breakStore(ctx, duration)
	case 10:
		s.secondKey = !s.secondKey
		s.record("configuration change")
		s.cluster.writeConfig(s.secondKey)
	case 11:
		s.drainServer(ctx, b, duration)
	}
}

// sendHangup sends SIGHUP to a daemon, which makes it read its settings again. In its
// first milliseconds a daemon has no handler yet and is killed by the signal. It is then
// started again, as by the platform.
func (s *faultInjector) sendHangup(v *vm) {
	s.record("hangup " + v.name)
	v.signal(syscall.SIGHUP)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarting[v] {
		return
	}
	s.restarting[v] = true
	s.group.Go(func() {
		select {
		case <-v.exited:
			_ = v.start(s.cluster.binary) // the checks detect a daemon that does not start
		case <-time.After(hangupExitTime):
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.restarting[v] = false
	})
}

// hangupExitTime is the time within which a daemon without a handler exits after SIGHUP.
const hangupExitTime = 100 * time.Millisecond

// restart sends a signal that ends a daemon and starts it again, unless it is being
// restarted already.
func (s *faultInjector) restart(v *vm, signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarting[v] {
		return
	}
	s.restarting[v] = true
	s.record(signal.String() + " " + v.name)
	v.signal(signal)
	s.group.Go(func() {
		select {
		case <-v.exited:
		case <-time.After(shutdownGrace + time.Second):
			v.signal(syscall.SIGKILL)
			<-v.exited
		}
		_ = v.start(s.cluster.binary) // the checks detect a daemon that does not start
		s.mu.Lock()
		defer s.mu.Unlock()
		s.restarting[v] = false
	})
}

// freeze suspends a daemon.
func (s *faultInjector) freeze(ctx context.Context, v *vm, duration time.Duration) {
	s.record("freeze " + v.name + " " + duration.String())
	v.signal(syscall.SIGSTOP)
	s.group.Go(func() {
		sleep.For(ctx, duration)
		v.signal(syscall.SIGCONT)
	})
}

// breakLink cuts, freezes, delays or resets a link.
func (s *faultInjector) breakLink(ctx context.Context, name string, r *relay.Relay, duration time.Duration) {
	kind := s.random.IntN(6)
	names := []string{"cut", "cut forward", "cut back", "frozen", "delayed", "reset"}
	s.record(names[kind] + ": " + name + " " + duration.String())
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
		sleep.For(ctx, duration)
		r.SetFaults(relay.Faults{})
	})
}

// setResponseMode makes a backend server answer wrongly in one way. The ways after Hangs
// apply only to servers without streams.
func (s *faultInjector) setResponseMode(ctx context.Context, b *server, duration time.Duration) {
	last := standin.Hangs
	if b.service == "shop" {
		last = standin.Malformed
	}
	m := standin.ResponseMode(1 + s.random.IntN(int(last)))
	s.record(b.ID + " answers wrongly " + duration.String())
	b.SetResponseMode(m)
	s.group.Go(func() {
		sleep.For(ctx, duration)
		b.SetResponseMode(standin.Normal)
	})
}

// breakStore makes the store fail calls in one way, or drop its history.
func (s *faultInjector) breakStore(ctx context.Context, duration time.Duration) {
	fault := standin.Fault(s.random.IntN(int(standin.AppliedLate) + 1))
	s.record("store " + duration.String())
	if fault == standin.NoFault {
		s.cluster.store.DropHistory()
		return
	}
	seed := s.random.Uint64()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	s.cluster.store.SetFault(func(method, path string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		writing := method == http.MethodPost && strings.HasSuffix(path, "tx")
		if random.IntN(2) == 0 || !writing && (fault == standin.ReplyLost || fault == standin.AppliedLate) {
			return standin.NoFault
		}
		return fault
	})
	s.group.Go(func() {
		sleep.For(ctx, duration)
		s.cluster.store.SetFault(nil)
		s.cluster.store.ApplyLate()
	})
}

// drainServer makes a backend server drain, breaks its connections when it stops, and
// makes it ready again later.
func (s *faultInjector) drainServer(ctx context.Context, b *server, duration time.Duration) {
	s.record(b.ID + " drains " + duration.String())
	b.SetLeaving(duration)
	s.cluster.register(b, "draining")
	s.group.Go(func() {
		sleep.For(ctx, duration)
		s.cluster.store.Remove("servers", b.ID)
		b.link.Reset()
		sleep.For(ctx, duration)
		b.SetLeaving(0)
		s.cluster.register(b, "ready")
	})
}
