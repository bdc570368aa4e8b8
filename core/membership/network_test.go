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

// Times of the network.
const (
	directTimeout   = membership.Period / 2
	indirectTimeout = membership.Period
	maxDelay        = membership.Period / 50
)

// framing is the number of bytes that JSON-RPC adds to a message.
const framing = 90

// start is when a network begins.
var start = time.Unix(1_700_000_000, 0)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events.
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

// network runs tables in virtual time. Its order of events depends on its seed
// alone.
type network struct {
	random *rand.Rand
	queue  events
	seq    int
	time   time.Duration
	nodes  []*node
	// byAddress has the daemons by the address of their peers' port.
	byAddress map[string]*node
	loss      float64
	// cut holds the pairs whose first cannot reach the second.
	cut map[[2]*node]bool
	// platformDown says whether the list cannot be read.
	platformDown bool
	list         []*vms.VM
	// head is the newest revision that the platform holds.
	head uint64
}

// node is a daemon in a network.
type node struct {
	net      *network
	table    *membership.Table
	record   membership.Record
	paused   time.Duration // until
	offset   time.Duration // of its clock
	stopped  bool
	offline  bool // cut from the platform
	nextList time.Duration
	revision uint64
	reverted bool // whether it went back to an older revision
	messages int
	bytes    int
}

func newNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]*node]bool{}, byAddress: map[string]*node{}, head: 1}
}

// join adds an entry daemon, and its VM to the platform's list.
func (n *network) join(domain string) *node {
	name := fmt.Sprintf("vm-%03d", len(n.nodes))
	n.list = append(n.list, &vms.VM{Name: name, FailureDomain: domain, Address: "10.0.0.1", PeerPort: 1000 + len(n.nodes)})
	o := &node{net: n, record: membership.Record{
		MemberID: membership.ID{VM: name, Role: peer.RoleEntry}, FailureDomain: domain,
		Address: fmt.Sprintf("10.0.0.1:%d", 1000+len(n.nodes)),
	}}
	o.table = membership.New(o.record, rand.New(rand.NewPCG(n.random.Uint64(), 2)), o.now())
	n.nodes = append(n.nodes, o)
	n.byAddress[o.record.Address] = o
	n.after(time.Duration(n.random.Int64N(int64(membership.Period))), o.tick)
	return o
}

// after does something in a while.
func (n *network) after(d time.Duration, do func()) {
	n.seq++
	heap.Push(&n.queue, event{at: n.time + d, seq: n.seq, do: do})
}

// run lets a time pass.
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
func (n *network) live() []*node {
	var live []*node
	for _, o := range n.nodes {
		if !o.stopped {
			live = append(live, o)
		}
	}
	return live
}

// quiet ends all faults.
func (n *network) quiet() {
	n.loss, n.platformDown = 0, false
	clear(n.cut)
	for _, o := range n.nodes {
		o.offline = false
		o.paused = 0
	}
}

func (n *network) delay() time.Duration { return time.Duration(n.random.Int64N(int64(maxDelay))) }

func (o *node) now() time.Time { return start.Add(o.net.time + o.offset) }

// awake does something once the daemon is not paused, unless it has stopped.
func (o *node) awake(do func()) {
	switch {
	case o.stopped:
	case o.paused > o.net.time:
		o.net.after(o.paused-o.net.time, func() { o.awake(do) })
	default:
		do()
	}
}

// tick begins a period of the daemon.
func (o *node) tick() {
	o.awake(func() {
		if !o.offline {
			o.follow(o.net.head)
			if !o.net.platformDown && o.net.time >= o.nextList {
				o.table.SetVMs(o.net.list, o.now())
				o.nextList = o.net.time + membership.VMListInterval(len(o.net.list))
			}
		}
		for _, p := range o.table.Tick(o.now()) {
			o.send(p, directTimeout, nil)
		}
		o.net.after(membership.Period, o.tick)
	})
}

// follow brings a revision into force.
func (o *node) follow(revision uint64) {
	o.reverted = o.reverted || revision < o.revision
	o.revision = revision
	o.table.SetRevision(revision)
}

// heard asks a daemon that is said to be ahead for its revision. That it is
// newer is left to the table, so that a table that errs is seen.
func (o *node) heard() {
	for _, r := range o.table.NewerRevisionHolders(o.revision, 1) {
		ahead := o.net.byAddress[r.Address]
		if !ahead.stopped && !o.net.lost(o, ahead) && !o.net.lost(ahead, o) {
			o.follow(ahead.revision)
		}
	}
}

func (n *network) lost(from, to *node) bool {
	return n.cut[[2]*node{from, to}] || n.random.Float64() < n.loss
}

func (o *node) count(message any) {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	o.messages++
	o.bytes += len(data) + framing
}

// send sends a probe and calls done with whether it was answered in time.
func (o *node) send(p membership.Probe, timeout time.Duration, done func(bool)) {
	ended := false
	end := func(answer *peer.HeartbeatAnswer) {
		if ended {
			return
		}
		ended = true
		o.count(p.Request)
		answered := answer != nil && o.table.HandleAnswer(p, *answer, o.now())
		if !answered {
			for _, indirect := range o.table.HandleFailure(p, o.now()) {
				o.send(indirect, indirectTimeout, nil)
			}
		}
		o.heard()
		if done != nil {
			done(answered)
		}
	}
	o.net.after(timeout, func() { o.awake(func() { end(nil) }) })
	to := o.net.byAddress[p.To.Address]
	if to == nil || o.net.lost(o, to) {
		return
	}
	o.net.after(o.net.delay(), func() {
		to.awake(func() {
			to.receive(p.Request, func(answer peer.HeartbeatAnswer) {
				to.count(answer)
				if !o.net.lost(to, o) {
					o.net.after(o.net.delay(), func() { o.awake(func() { end(&answer) }) })
				}
			})
		})
	})
}

// receive answers a heartbeat.
func (o *node) receive(request peer.Heartbeat, respond func(peer.HeartbeatAnswer)) {
	answer := o.table.HandleHeartbeat(request, o.now())
	o.heard()
	if request.Target == nil {
		respond(answer)
		return
	}
	o.send(o.table.RelayProbe(request, o.now()), directTimeout, func(reached bool) {
		answer.TargetReached = reached
		respond(answer)
	})
}

// stop ends a daemon, announced or not.
func (o *node) stop(announced bool) {
	if announced {
		for _, p := range o.table.Stop(o.now()) {
			o.send(p, directTimeout, nil)
		}
	}
	o.stopped = true
}

// state returns what the daemon knows of another.
func (o *node) state(other *node) peer.MemberState {
	for _, m := range o.table.Members(o.now()) {
		if m.VM == other.record.VM {
			return m.State
		}
	}
	return ""
}

// sortedNames returns the keys of a map in order.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
