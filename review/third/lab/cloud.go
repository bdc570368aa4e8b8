package lab

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
)

// Call is a call of the platform's API.
type Call struct {
	Path, Holder string
	Fence        uint64
	Body         map[string]any
	At           time.Time
	Status       int
}

// Orders is the platform's API with the replicas of one service, which it starts and drains as it is told.
type Orders struct {
	lab     *Lab
	service string
	address string

	mu    sync.Mutex // guards the fields below
	calls []Call
	// replicas are those that run or boot, by group, the oldest first.
	replicas map[group][]*replica
	// dryUntil is the time until which no replicas that may be taken away are to be had in a zone.
	dryUntil map[string]time.Time
	count    int
	// onCall is called with each call.
	onCall func(Call)
}

// group is the replicas that one order counts.
type group struct {
	zone string
	spot bool
}

// replica is a replica of an ordered service.
type replica struct {
	id      string
	server  *platformtest.Server
	born    int64
	removed bool
}

// Times of replicas, as of the small deployments.
const (
	// bootTime is bootS, and heartbeat heartbeatMs: the replicas of an order write their first entries
	// within it, one after the other.
	bootTime, heartbeat = 4 * time.Second, 1200 * time.Millisecond
	// drainTime is drainMs and a little longer.
	drainTime = 3 * time.Second
)

// NewOrders starts the API. Replicas begin ready.
func (l *Lab) NewOrders(service string, standardPerZone int) *Orders {
	o := &Orders{lab: l, service: service, replicas: make(map[group][]*replica), dryUntil: make(map[string]time.Time), onCall: func(Call) {}}
	for _, zone := range ZoneNames {
		for range standardPerZone {
			o.boot(group{zone, false}, 0)
		}
	}
	o.address = strings.TrimPrefix(loopback.NewServer(http.HandlerFunc(o.serve)).URL, "http://")
	return o
}

// Address returns the IP address and port of the API.
func (o *Orders) Address() string { return o.address }

// Calls returns the calls so far in order.
func (o *Orders) Calls() []Call {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Call(nil), o.calls...)
}

// OnCall sets a function that is called with each call, in order. It must not block or use o.
func (o *Orders) OnCall(f func(Call)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onCall = f
}

// Reclaim takes all replicas of a zone away that may be taken away, some time after the notice. For a
// while no more are to be had there.
func (o *Orders) Reclaim(zone string, notice, dry time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dryUntil[zone] = time.Now().Add(dry)
	g := group{zone, true}
	taken := o.replicas[g]
	o.replicas[g] = nil
	for _, r := range taken {
		o.drain(g, r, notice)
	}
	return len(taken)
}

// boot starts a replica after a time. The caller holds o.mu, or nobody else uses o.
func (o *Orders) boot(g group, after time.Duration) {
	o.count++
	r := &replica{id: fmt.Sprintf("i-%s-%t-%02d", g.zone, g.spot, o.count)}
	o.replicas[g] = append(o.replicas[g], r)
	start := func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if r.removed {
			return
		}
		r.server, r.born = platformtest.NewServer(r.id, 20), time.Now().UnixMilli()
		o.write(g, r, "ready", 0)
	}
	if after == 0 {
		r.server, r.born = platformtest.NewServer(r.id, 20), time.Now().UnixMilli()
		o.write(g, r, "ready", 0)
		return
	}
	time.AfterFunc(after, start)
}

// write writes the entry of a replica.
func (o *Orders) write(g group, r *replica, state string, leaves time.Duration) {
	entry := r.server.Entry(o.service, g.zone, state)
	entry["slots"], entry["born"] = 64, r.born
	if g.spot {
		entry["spot"] = true
	}
	if leaves > 0 {
		entry["leaves_ms"] = leaves.Milliseconds()
	}
	o.lab.Store.Write("servers", r.id, entry)
}

// drain has a replica drain and leave. The caller holds o.mu.
func (o *Orders) drain(g group, r *replica, notice time.Duration) {
	r.removed = true
	if r.server == nil {
		return
	}
	r.server.SetLeaving(true)
	o.write(g, r, "draining", notice)
	time.AfterFunc(notice, func() {
		o.lab.Store.Remove("servers", r.id)
		r.server.Close()
	})
}

// serve serves one call.
func (o *Orders) serve(w http.ResponseWriter, r *http.Request) {
	call := Call{Path: r.URL.Path, Holder: r.Header.Get("X-Duty-Holder"), At: time.Now(), Status: http.StatusOK}
	var err error
	if call.Fence, err = strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64); err != nil || json.NewDecoder(r.Body).Decode(&call.Body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if call.Path == "/scale" {
		zone, _ := call.Body["zone"].(string)
		spot, _ := call.Body["spot"].(bool)
		count, _ := call.Body["desiredCount"].(float64)
		if !o.set(group{zone, spot}, int(count)) {
			call.Status = http.StatusConflict
		}
	}
	o.calls = append(o.calls, call)
	o.onCall(call)
	w.WriteHeader(call.Status)
}

// set has a number of replicas of a group. It reports false if there are none to be had.
func (o *Orders) set(g group, count int) bool {
	have := len(o.replicas[g])
	if count > have && g.spot && time.Now().Before(o.dryUntil[g.zone]) {
		return false
	}
	for i := range count - have {
		o.boot(g, bootTime+heartbeat*time.Duration(i)/time.Duration(count-have))
	}
	for range have - count {
		last := len(o.replicas[g]) - 1
		o.drain(g, o.replicas[g][last], drainTime)
		o.replicas[g] = o.replicas[g][:last]
	}
	return true
}
