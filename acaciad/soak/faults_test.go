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
	"acaciapath.example/platform/platformtest"
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
	// losses draws the links that lose all packets.
	losses *rand.Rand
	// secondKey states that the configuration has the second key.
	secondKey  bool
	restarting map[*vm]bool
	mu         sync.Mutex // guards restarting
	// restores states that the store is also restored from copies, and backups are the latest
	// of these.
	restores bool
	backups  []*platformtest.Backup
	// cutsServers states that VMs are also cut off from all backend servers.
	cutsServers bool
	cuts        *cuts
	// upgrades are the builds by which daemons are replaced, or nil.
	upgrades *upgrades
}

func newFaultInjector(cl *cluster, seed uint64) *faultInjector {
	return &faultInjector{
		cluster: cl, random: rand.New(rand.NewPCG(seed, 1)), losses: rand.New(rand.NewPCG(seed, 4)), began: time.Now(), secondKey: true, restarting: make(map[*vm]bool),
		cuts: &cuts{cluster: cl, vms: make(map[*vm]int)},
	}
}

// run injects faults until ctx is done, and then clears all of them.
func (f *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.restores {
			f.backUpOrRestore()
		}
		if f.cutsServers {
			f.cutFromServers(ctx)
		}
		if f.upgrades != nil {
			f.replaceDaemon()
			f.replaceVM()
			f.releaseEngine(ctx)
		}
		f.losePackets(ctx)
		f.injectFault(ctx)
		sleep.For(ctx, f.randomMilliseconds(100, 700))
	}
	f.group.Wait()
	f.cluster.store.SetFault(nil)
	f.cluster.store.ApplyLate()
	for _, server := range f.cluster.servers {
		server.SetResponseMode(platformtest.Normal)
		server.link.SetFaults(relay.Faults{})
		if server.gone {
			continue
		}
		server.SetDraining(0)
		f.cluster.register(server, "ready")
	}
}

// lossGap is the time between the losses of the links of a VM.
const lossGap = 400 * time.Millisecond

// losePackets has links lose all packets for 0.3 to 3 s, in one of three calls: those of a VM to the cloud
// API and the store, one of these, or one to a backend server. What is under way is sent again as TCP does.
func (f *faultInjector) losePackets(ctx context.Context) {
	if f.losses.IntN(3) > 0 {
		return
	}
	vms := f.faultyVMs()
	v := vms[f.losses.IntN(len(vms))]
	servers := f.cluster.presentServers()
	b := servers[f.losses.IntN(len(servers))]
	name, links := v.name+" to the cloud API and the store", []*relay.Relay{v.cloudLink, v.storeLink}
	switch f.losses.IntN(5) {
	case 0:
		name, links = v.name+" to the store", links[1:]
	case 1:
		name, links = v.name+" to the cloud API", links[:1]
	case 2:
		name, links = "link to "+b.ID, []*relay.Relay{b.link}
	}
	duration := time.Duration(300+f.losses.IntN(2700)) * time.Millisecond
	f.record("loses all packets: " + name + " " + duration.String())
	f.group.Go(func() {
		for _, link := range links { // what is reported in between is under way when the lease ends
			link.SetFaults(relay.Faults{Lossy: true})
			sleep.For(ctx, lossGap)
		}
		sleep.For(ctx, duration)
		for _, link := range links {
			link.SetFaults(relay.Faults{})
		}
	})
}

// maxBackups is the number of copies of the store that are kept. One is made about every 0.5 s.
const maxBackups = 10

// backUpOrRestore makes a copy of the store, or restores the store from one.
func (f *faultInjector) backUpOrRestore() {
	if len(f.backups) > 0 && f.random.IntN(6) == 0 {
		i := f.random.IntN(len(f.backups))
		f.record("store restored from a copy")
		f.cluster.restoreStore(f.backups[i])
		f.backups = f.backups[:i+1]
		return
	}
	f.backups = append(f.backups, f.cluster.store.Backup())
	if len(f.backups) > maxBackups {
		f.backups = f.backups[1:]
	}
}

// randomMilliseconds returns a random duration from minimum to below maximum, in
// milliseconds.
func (f *faultInjector) randomMilliseconds(minimum, maximum int) time.Duration {
	return time.Duration(minimum+f.random.IntN(maximum-minimum)) * time.Millisecond
}

// record adds a line to the history.
func (f *faultInjector) record(text string) {
	f.history = append(f.history, time.Since(f.began).Round(time.Millisecond).String()+" "+text)
}

// injectFault injects one fault.
func (f *faultInjector) injectFault(ctx context.Context) {
	vms := f.faultyVMs()
	v := vms[f.random.IntN(len(vms))]
	servers := f.cluster.presentServers()
	b := servers[f.random.IntN(len(servers))]
	duration := f.randomMilliseconds(300, 2000)
	switch f.random.IntN(12) {
	case 0:
		f.restart(v, syscall.SIGTERM)
	case 1:
		f.restart(v, syscall.SIGKILL)
	case 2:
		f.suspend(ctx, v, duration)
	case 3:
		f.sendHangup(v)
	case 4, 5:
		f.breakLink(ctx, v.name+" to the store", v.storeLink, duration)
	case 6:
		f.breakLink(ctx, "link to "+b.ID, b.link, duration)
	case 7, 8:
		f.setResponseMode(ctx, b, duration)
	case 9:
		f.breakStore(ctx, duration)
	case 10:
		f.secondKey = !f.secondKey
		f.record("configuration change")
		f.cluster.writeConfig(f.secondKey)
	case 11:
		f.drainServer(ctx, b, duration)
	}
}

// faultyVMs returns the VMs that get faults. If VMs are also cut off from servers, one gets none, so
// that there is always a VM through which the others can reach the servers.
func (f *faultInjector) faultyVMs() []*vm {
	if f.cutsServers {
		return f.cluster.vms[:len(f.cluster.vms)-1]
	}
	return f.cluster.vms
}

// sendHangup sends SIGHUP to a daemon, which makes it read its settings again. In its
// first milliseconds a daemon has no handler yet and is killed by the signal. It is then
// started again, as by the platform.
func (f *faultInjector) sendHangup(v *vm) {
	f.record("SIGHUP " + v.name)
	v.signal(syscall.SIGHUP)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restarting[v] {
		return
	}
	f.restarting[v] = true
	f.group.Go(func() {
		select {
		case <-v.exited:
			_ = v.start() // the checks detect a daemon that does not start
		case <-time.After(hangupExitTime):
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.restarting[v] = false
	})
}

// hangupExitTime is the time within which a daemon without a handler exits after SIGHUP.
const hangupExitTime = 100 * time.Millisecond

// restart sends a signal that ends a daemon and starts it again, unless it is being
// restarted already.
func (f *faultInjector) restart(v *vm, signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restarting[v] {
		return
	}
	f.restarting[v] = true
	f.record(signal.String() + " " + v.name)
	v.signal(signal)
	f.group.Go(func() {
		select {
		case <-v.exited:
		case <-time.After(shutdownGrace + time.Second):
			v.signal(syscall.SIGKILL)
			<-v.exited
		}
		_ = v.start() // the checks detect a daemon that does not start
		f.mu.Lock()
		defer f.mu.Unlock()
		f.restarting[v] = false
	})
}

// suspend suspends a daemon for a duration.
func (f *faultInjector) suspend(ctx context.Context, v *vm, duration time.Duration) {
	f.record("suspend " + v.name + " " + duration.String())
	v.signal(syscall.SIGSTOP)
	f.group.Go(func() {
		sleep.For(ctx, duration)
		v.signal(syscall.SIGCONT)
	})
}

// breakLink cuts, freezes, delays or resets a link. All faults but the reset end after a
// duration.
func (f *faultInjector) breakLink(ctx context.Context, name string, r *relay.Relay, duration time.Duration) {
	kind := f.random.IntN(6)
	names := []string{"cut", "cut forward", "cut back", "frozen", "delayed", "reset"}
	f.record(names[kind] + ": " + name + " " + duration.String())
	switch kind {
	case 0:
		r.SetFaults(relay.Faults{DropToTarget: true, DropFromTarget: true})
	case 1:
		r.SetFaults(relay.Faults{DropToTarget: true})
	case 2:
		r.SetFaults(relay.Faults{DropFromTarget: true})
	case 3:
		r.SetFaults(relay.Faults{Frozen: true})
	case 4:
		r.SetFaults(relay.Faults{Delay: 100 * time.Millisecond})
	case 5:
		r.CloseConnections()
		return
	}
	f.group.Go(func() {
		sleep.For(ctx, duration)
		r.SetFaults(relay.Faults{})
	})
}

// setResponseMode makes a backend server answer wrongly in one response mode. The modes
// after Hangs apply only to servers without streams.
func (f *faultInjector) setResponseMode(ctx context.Context, b *server, duration time.Duration) {
	last := platformtest.Hangs
	if b.service == "shop" {
		last = platformtest.Malformed
	}
	mode := platformtest.ResponseMode(1 + f.random.IntN(int(last)))
	f.record(b.ID + " answers wrongly " + duration.String())
	b.SetResponseMode(mode)
	f.group.Go(func() {
		sleep.For(ctx, duration)
		b.SetResponseMode(platformtest.Normal)
	})
}

// breakStore makes the store fail calls with one fault, or drop its history.
func (f *faultInjector) breakStore(ctx context.Context, duration time.Duration) {
	fault := platformtest.Fault(f.random.IntN(int(platformtest.AppliedLate) + 1))
	f.record("store fails calls or drops its history " + duration.String())
	if fault == platformtest.NoFault {
		f.cluster.store.DropHistory()
		return
	}
	seed := f.random.Uint64()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	f.cluster.store.SetFault(func(method, path string) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		writing := method == http.MethodPost && strings.HasSuffix(path, "tx")
		if random.IntN(2) == 0 || !writing && (fault == platformtest.ReplyLost || fault == platformtest.AppliedLate) {
			return platformtest.NoFault
		}
		return fault
	})
	f.group.Go(func() {
		sleep.For(ctx, duration)
		f.cluster.store.SetFault(nil)
		f.cluster.store.ApplyLate()
	})
}

// drainServer makes a backend server drain, breaks its connections when it stops, and
// makes it ready again later.
func (f *faultInjector) drainServer(ctx context.Context, b *server, duration time.Duration) {
	f.record(b.ID + " drains " + duration.String())
	b.SetDraining(duration)
	f.cluster.register(b, "draining")
	f.group.Go(func() {
		sleep.For(ctx, duration)
		f.cluster.unregister(b)
		b.link.CloseConnections()
		sleep.For(ctx, duration)
		f.cluster.bringBack(b)
	})
}
