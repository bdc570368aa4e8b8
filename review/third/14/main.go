// Case 14: hostile clients leave chunked bodies one byte short of their end, on more channels than the
// daemon admits. The machine says that it is ready and takes no other channel.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/review/third/lab"
)

// What the hostile clients send.
const (
	// hostileChannels is their number at the machine, and hostileAddresses that of the addresses
	// from which they come.
	hostileChannels, hostileAddresses = 2600, 60
	// chunkBytes is the size of the one chunk of a body, of which the last byte is missing.
	chunkBytes = 1024
	// hostileDeadline is the deadline that they state.
	hostileDeadline = 12 * time.Second
	// hostileTaken is the time after which a hostile channel that is still open counts as taken.
	hostileTaken = time.Second
	// hostileRetry is the time until they open another channel after one was refused or ended.
	hostileRetry = 200 * time.Millisecond
)

// The ordinary callers and the length of the run.
const (
	// ordinaryClients is the number of ordinary callers. Seven must try for the rule to apply.
	ordinaryClients = 10
	// ordinaryInterval is the time between two requests of one, each on a new channel.
	ordinaryInterval = 200 * time.Millisecond
	ordinaryDeadline = 2 * time.Second
	// readyInterval is how often the platform asks whether the machine is ready.
	readyInterval = time.Second
	// contact is contactMs of the small deployments.
	contact = 4 * time.Second
	// calm is the time before the hostile clients begin, and runTime the time with them.
	calm, runTime = 5 * time.Second, 15 * time.Second
)

func main() {
	if len(os.Args) != 2 {
		os.Exit(lab.CannotRun)
	}
	l := lab.New(os.Args[1])
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < hostileChannels+1000 {
		l.Fail("too few file descriptors: %d", files.Cur)
	}
	for i, zone := range lab.ZoneNames {
		shop := platformtest.NewServer(fmt.Sprint("i-shop-", i), 0)
		shop.SetPause(60 * time.Millisecond)
		l.Register(shop, "tienda", zone, "ready")
		model := platformtest.NewServer(fmt.Sprint("i-model-", i), 20)
		l.Register(model, "asistente", zone, "ready")
	}
	lab.Config{
		Version: 3, Limits: lab.DefaultLimits(),
		Routes: []lab.Route{
			{Name: "order-status", Type: "safe", Service: "tienda", TimeoutMS: 2000, TargetMS: 400, MaxAttempts: 2},
			{Name: "curation-letter", Type: "streaming", Service: "asistente", TimeoutMS: 12000, TargetMS: 2000, MaxAttempts: 1, Engine: true},
		},
		Services: []map[string]any{
			{"name": "tienda", "healthPath": "/healthz", "maxConnections": 110},
			{"name": "asistente", "healthPath": "/healthz", "maxConnections": 370},
		},
	}.Write(l.Store)
	for _, zone := range lab.ZoneNames {
		l.AddDaemon(zone, lab.DaemonOptions{}).Start()
	}
	for _, d := range l.Daemons {
		d.AwaitReady()
	}
	r := &run{Lab: l, machine: l.Daemons[0], end: make(chan struct{}), taken: time.Now(), notReady: time.Now()}
	for i := range ordinaryClients {
		r.tasks.Go(func() { r.callOrdinarily(i) })
	}
	r.tasks.Go(r.askReady)
	time.Sleep(calm)
	if l.Trouble {
		l.Note("%d hostile clients begin", hostileChannels)
		for i := range hostileChannels {
			r.tasks.Go(func() { r.press(i) })
		}
	}
	time.Sleep(runTime)
	close(r.end)
	r.tasks.Wait()
	r.findLongest()
	l.Verdict(r.longest >= contact, "longest time in which the machine said that it was ready, %d ordinary clients tried and it took no channel, also of hostile ones: %.1f s, allowed less than %.1f s; ordinary requests answered %d, not answered %d",
		ordinaryClients, r.longest.Seconds(), contact.Seconds(), r.answered, r.unanswered)
}

// run is what happens at the same time.
type run struct {
	*lab.Lab
	machine *lab.Daemon
	end     chan struct{}
	tasks   sync.WaitGroup

	mu sync.Mutex // guards the fields below
	// taken is when the machine last answered a request on a new channel, and notReady when it
	// last did not say that it is ready.
	taken, notReady time.Time
	// longest is the longest time without either.
	longest              time.Duration
	answered, unanswered int
	// spans are the times without either, and hostileTaken when hostile channels that the machine
	// took were opened.
	spans        []span
	hostileTaken []time.Time
}

// span is a time in which the machine said that it was ready and took no channel of an ordinary client.
type span struct{ from, to time.Time }

// findLongest finds the longest part of a span in which it took no hostile channel either.
func (r *run) findLongest() {
	slices.SortFunc(r.hostileTaken, time.Time.Compare)
	for _, s := range r.spans {
		from := s.from
		for _, at := range r.hostileTaken {
			if at.After(from) && at.Before(s.to) {
				r.longest = max(r.longest, at.Sub(from))
				from = at
			}
		}
		r.longest = max(r.longest, s.to.Sub(from))
	}
}

// ended reports whether the run is over.
func (r *run) ended() bool {
	select {
	case <-r.end:
		return true
	default:
		return false
	}
}

// askReady asks the machine whether it is ready, as the platform does.
func (r *run) askReady() {
	for !r.ended() {
		ready := r.machine.IsReady()
		r.mu.Lock()
		if !ready {
			r.notReady = time.Now()
		}
		r.mu.Unlock()
		r.Note("ready: %t", ready)
		time.Sleep(readyInterval)
	}
}

// callOrdinarily sends requests of an ordinary caller, each on a new channel. Any answer counts.
func (r *run) callOrdinarily(client int) {
	for !r.ended() {
		a := lab.Send(r.machine.Callers, lab.Request{
			Method: "GET", Path: "/order-status/1", ID: lab.NewAttemptID(), Deadline: ordinaryDeadline, From: fmt.Sprintf("127.9.9.%d", 1+client),
		})
		r.record(client, a)
		time.Sleep(ordinaryInterval)
	}
}

// record records how an ordinary request ended.
func (r *run) record(client int, a lab.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	since := r.taken
	if r.notReady.After(since) {
		since = r.notReady
	}
	r.spans = append(r.spans, span{since, now})
	if a.Status != 0 || errors.Is(a.Err, os.ErrDeadlineExceeded) { // a channel that stays open is taken
		r.taken = now
		r.answered++
		return
	}
	r.unanswered++
	r.Note("client %d: no answer: %v", client, a.Err)
}

// press is one hostile client.
func (r *run) press(client int) {
	for !r.ended() {
		r.sendHostile(client)
		select {
		case <-time.After(hostileRetry):
		case <-r.end:
		}
	}
}

// sendHostile sends one hostile request and keeps its channel open until the daemon closes it.
func (r *run) sendHostile(client int) {
	c, err := lab.Dial(fmt.Sprintf("127.8.8.%d", 1+client%hostileAddresses), r.machine.Callers)
	if err != nil {
		return
	}
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		select {
		case <-r.end:
		case <-closed:
		}
		_ = c.Close() // it may be closed already
	}()
	_ = c.SetDeadline(time.Now().Add(2 * hostileDeadline)) // an error shows in the write
	request := lab.Request{
		Method: "POST", Path: "/curation-letter/1", ID: lab.NewAttemptID(), Deadline: hostileDeadline, Key: lab.HostileKey,
		Header: map[string]string{"Transfer-Encoding": "chunked", "X-Model": "m", "X-Token-Usage": "3720,60", "X-Prefix-Hash": "5c1e07a2:3000,91bd3f06:720"},
	}
	body := make([]byte, chunkBytes-1)
	if _, err := c.Write(append([]byte(request.Head("")+fmt.Sprintf("%x\r\n", chunkBytes)), body...)); err != nil {
		return
	}
	opened, answered := time.Now(), 0
	buffer := make([]byte, 512)
	for err == nil {
		var n int
		n, err = c.Read(buffer)
		answered += n
	}
	if answered > 0 || time.Since(opened) > hostileTaken { // it was not closed unread
		r.mu.Lock()
		r.hostileTaken = append(r.hostileTaken, opened)
		r.mu.Unlock()
	}
}
