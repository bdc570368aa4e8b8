package soak_test

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"acaciapath.example/core/sleep"
)

// Limits of the changes during a release.
const (
	// maxAddedVMs is the number of VMs that are added beyond those of the start.
	maxAddedVMs = 1
	// maxReleased is the number of engines that are replaced. Each round of them has the next
	// software version.
	maxReleased = 3 * engineCount
	// bootTime is the time from the start of a new engine to the notice of the old one.
	bootTime = 500 * time.Millisecond
)

// presentServers returns the backend servers that were not replaced for good.
func (cl *cluster) presentServers() []*server {
	return slices.DeleteFunc(slices.Clone(cl.servers), func(s *server) bool { return cl.isGone(s) })
}

// isGone reports whether a backend server was replaced for good.
func (cl *cluster) isGone(s *server) bool {
	cl.written.Lock()
	defer cl.written.Unlock()
	return s.gone
}

// bringBack makes a backend server that has drained ready again, unless it was replaced.
func (cl *cluster) bringBack(s *server) {
	if cl.isGone(s) {
		return
	}
	s.SetDraining(0)
	cl.register(s, "ready")
}

// releaseEngine replaces the engine that was started first by one of the next software version, in one of
// three calls.
func (f *faultInjector) releaseEngine(ctx context.Context) {
	cl, n := f.cluster, f.upgrades.released
	if n >= maxReleased || f.upgrades.random.IntN(3) > 0 {
		return
	}
	f.upgrades.released++
	old := cl.presentServers()[shopCount]
	version := fmt.Sprintf("v%d", 2+n/engineCount)
	cl.addServer(fmt.Sprintf("engine-%d", engineCount+n), "llm", version, eventCount)
	cl.written.Lock()
	old.gone = true
	cl.written.Unlock()
	notice := time.Duration(500+f.upgrades.random.IntN(1500)) * time.Millisecond
	f.record(fmt.Sprintf("engine-%d of %s replaces %s, notice %s", engineCount+n, version, old.ID, notice))
	f.group.Go(func() {
		sleep.For(ctx, bootTime)
		old.SetDraining(notice)
		cl.register(old, "draining")
		sleep.For(ctx, notice)
		cl.unregister(old)
		old.link.CloseConnections()
	})
}

// replaceVM replaces a VM by one with another name, or adds one, in one of eight calls.
func (f *faultInjector) replaceVM() {
	cl, random := f.cluster, f.upgrades.random
	if random.IntN(8) > 0 {
		return
	}
	old := cl.vms[random.IntN(len(cl.vms))]
	adds := len(cl.vms) < daemonCount+maxAddedVMs && random.IntN(2) == 0
	if !adds && !f.startRestarting(old) {
		return
	}
	build := random.IntN(len(f.upgrades.builds))
	name := fmt.Sprintf("vm-%d", daemonCount+f.upgrades.newVMs)
	f.upgrades.newVMs++
	cl.addVM(name, f.upgrades.builds[build])
	if adds {
		f.record(fmt.Sprintf("%s of build %d is added", name, build))
		return
	}
	signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[random.IntN(2)]
	f.record(fmt.Sprintf("%s of build %d replaces %s: %s", name, build, old.name, signal))
	cl.mu.Lock()
	cl.vms = slices.DeleteFunc(cl.vms, func(v *vm) bool { return v == old })
	cl.mu.Unlock()
	old.signal(signal)
	f.group.Go(func() { // it stays marked as restarting, so that nothing starts it again
		select {
		case <-old.exited:
		case <-time.After(shutdownGrace + time.Second):
			old.signal(syscall.SIGKILL)
			<-old.exited
		}
		old.exited <- nil // for the cleanup
	})
}

// startRestarting marks a daemon as one that is being restarted. It reports false if it is already.
func (f *faultInjector) startRestarting(v *vm) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restarting[v] {
		return false
	}
	f.restarting[v] = true
	return true
}
