package membership_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/membership"
	"acaciapath.example/core/peer"
)

const (
	directTimeout   = membership.Period / 2
	indirectTimeout = membership.Period
	// maxDelay bounds the time that a message takes.
	maxDelay = membership.Period / 50
)

// framingBytes is the number of bytes that JSON-RPC adds to a message.
const framingBytes = 90

// start is the time at which a simulated network starts.
var start = time.Unix(1_700_000_000, 0)

// event is an action at a time of the simulation. Events at the same time run in
// the order of seq.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// network simulates daemons, each with a Table, in virtual time. The order of
// events depends only on the seed.
type network struct {
	random  *rand.Rand
	queue   events
	seq     int
	time    time.Duration
	daemons []*daemon
	// byAddress holds the daemons by the address on which they serve peers.
	byAddress map[string]*daemon
	// loss is the probability that a message is lost.
	loss float64
	// blocked holds the pairs of daemons of which the first cannot reach the
	// second.
	blocked map[[2]*daemon]bool
	// platformDown says whether the platform's list cannot be read.
	platformDown bool
	list         []*vms.VM
	// head is the newest revision that the platform has.
	head uint64
}

// daemon is a simulated daemon.
type daemon struct {
	net                 *network
	table               *membership.Table
	record              membership.Record
	pausedUntil         time.Duration // the network's time at which its pause ends
	clockOffset         time.Duration // what its clock is ahead by
	stopped             bool
	platformUnreachable bool // whether it cannot reach the platform
	nextList            time.Duration
	revision            uint64
	reverted            bool // whether it went back to an older revision
	messages            int  // that it has sent
	bytes               int  // that it has sent
}

func newNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]*daemon]bool{}, byAddress: map[string]*daemon{}, head: 1}
}

// join adds an entry daemon on a new VM and adds the VM to the platform's list.
func (n *network) join(domain string) *daemon {
	name := fmt.Sprintf("vm-%03d", len(n.daemons))
	n.list = append(n.list, &vms.VM{Name: name, FailureDomain: domain, Address: "10.0.0.1", PeerPort: 1000 + len(n.daemons)})
	d := &daemon{net: n, record: membership.Record{
		MemberID: membership.ID{VM: name, Role: peer.RoleEntry}, FailureDomain: domain,
		Address: fmt.Sprintf("10.0.0.1:%d", 1000+len(n.daemons)),
	}}
	d.table = membership.New(d.record, rand.New(rand.NewPCG(n.random.Uint64(), 2)), d.now())
	n.daemons = append(n.daemons, d)
	n.byAddress[d.record.Address] = d
	n.after(time.Duration(n.random.Int64N(int64(membership.Period))), d.tick)
	return d
}

// after calls do when d has passed.
func (n *network) after(d time.Duration, do func()) {
	n.seq++
	heap.Push(&n.queue, event{at: n.time + d, seq: n.seq, do: do})
}

// run advances the time by a number of periods and runs the events in them.
func (n *network) run(periods int) {
	until := n.time + time.Duration(periods)*membership.Period
	for n.queue.Len() > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.time = e.at
		e.do()
	}
	n.time = until
}

// live returns the daemons that have not stopped.
func (n *network) live() []*daemon {
	var live []*daemon
	for _, d := range n.daemons {
		if !d.stopped {
			live = append(live, d)
		}
	}
	return live
}

// endFaults ends message loss, blocked connections, pauses and outages of the
// platform.
func (n *network) endFaults() {
	n.loss, n.platformDown = 0, false
	clear(n.blocked)
	for _, d := range n.daemons {
		d.platformUnreachable = false
		d.pausedUntil = 0
	}
}

func (n *network) delay() time.Duration { return time.Duration(n.random.Int64N(int64(maxDelay))) }

func (d *daemon) now() time.Time { return start.Add(d.net.time + d.clockOffset) }

// whenRunning calls do once the daemon is no longer paused. It drops do if the
// daemon has stopped.
func (d *daemon) whenRunning(do func()) {
	switch {
	case d.stopped:
	case d.pausedUntil > d.net.time:
		d.net.after(d.pausedUntil-d.net.time, func() { d.whenRunning(do) })
	default:
		do()
	}
}

// tick begins a period of the daemon and schedules the next one.
func (d *daemon) tick() {
	d.whenRunning(func() {
		if !d.platformUnreachable {
			d.setRevision(d.net.head)
			if !d.net.platformDown && d.net.time >= d.nextList {
				d.table.SetVMs(d.net.list, d.now())
				d.nextList = d.net.time + membership.VMListInterval(len(d.net.list))
			}
		}
		for _, p := range d.table.Tick(d.now()) {
			d.send(p, directTimeout, nil)
		}
		d.net.after(membership.Period, d.tick)
	})
}

// setRevision puts a revision into force.
func (d *daemon) setRevision(revision uint64) {
	d.reverted = d.reverted || revision < d.revision
	d.revision = revision
	d.table.SetRevision(revision)
}

// fetchRevision takes the revision of a daemon that the table returns as having a
// newer one. It does not check that the revision is newer, so that a table that
// returns an older one makes the test fail.
func (d *daemon) fetchRevision() {
	for _, r := range d.table.DaemonsAhead(d.revision, 1) {
		ahead := d.net.byAddress[r.Address]
		if !ahead.stopped && !d.net.lost(d, ahead) && !d.net.lost(ahead, d) {
			d.setRevision(ahead.revision)
		}
	}
}

func (n *network) lost(from, to *daemon) bool {
	return n.blocked[[2]*daemon{from, to}] || n.random.Float64() < n.loss
}

func (d *daemon) countSent(message any) {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	d.messages++
	d.bytes += len(data) + framingBytes
}

// send sends a probe and calls done, unless it is nil, with whether the probe was
// answered in time.
func (d *daemon) send(p membership.Probe, timeout time.Duration, done func(bool)) {
	ended := false
	end := func(answer *peer.HeartbeatAnswer) {
		if ended {
			return
		}
		ended = true
		d.countSent(p.Request)
		answered := answer != nil && d.table.HandleAnswer(p, *answer, d.now())
		if !answered {
			for _, indirect := range d.table.HandleFailure(p, d.now()) {
				d.send(indirect, indirectTimeout, nil)
			}
		}
		d.fetchRevision()
		if done != nil {
			done(answered)
		}
	}
	d.net.after(timeout, func() { d.whenRunning(func() { end(nil) }) })
	to := d.net.byAddress[p.To.Address]
	if to == nil || d.net.lost(d, to) {
		return
	}
	d.net.after(d.net.delay(), func() {
		to.whenRunning(func() {
			to.receive(p.Request, func(answer peer.HeartbeatAnswer) {
				to.countSent(answer)
				if !d.net.lost(to, d) {
					d.net.after(d.net.delay(), func() { d.whenRunning(func() { end(&answer) }) })
				}
			})
		})
	})
}

// receive handles a heartbeat and calls respond with the answer.
func (d *daemon) receive(request peer.Heartbeat, respond func(peer.HeartbeatAnswer)) {
	answer := d.table.HandleHeartbeat(request, d.now())
	d.fetchRevision()
	if request.Target == nil {
		respond(answer)
		return
	}
	d.send(d.table.RelayProbe(request, d.now()), directTimeout, func(reached bool) {
		answer.TargetReached = reached
		respond(answer)
	})
}

// stop stops the daemon. If announced is true, it informs others first.
func (d *daemon) stop(announced bool) {
	if announced {
		for _, p := range d.table.Stop(d.now()) {
			d.send(p, directTimeout, nil)
		}
	}
	d.stopped = true
}

// state returns the state that the daemon sees another in, or an empty string if
// it does not know it.
func (d *daemon) state(other *daemon) peer.MemberState {
	for _, m := range d.table.Members(d.now()) {
		if m.VM == other.record.VM {
			return m.State
		}
	}
	return ""
}

// sortedNames returns the keys of m, sorted.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
