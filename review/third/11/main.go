// Case 11: during a release of replicas a machine is added. The store loses the answer of the write of its
// first plan, and the machine is killed. Streams that began there must go on at their version.
package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"acaciapath.example/review/third/lab"
)

const (
	// replicas is the number of replicas of the service, and released that of those that are
	// replaced by ones of another version, one each releaseGap.
	replicas, released = 12, 3
	releaseGap         = time.Second
	// drainTime is drainMs and a little longer.
	drainTime = 3 * time.Second
	// events and pause are the number of events of a stream and the time between two.
	events = 40
	pause  = 100 * time.Millisecond
	// steady is the time before the release, and releaseAt its begin within a period of ten
	// seconds of the wall clock.
	steady, releaseAt = 12 * time.Second, 300 * time.Millisecond
	// lateBy is how much later the write whose answer is lost is done.
	lateBy = 5 * time.Second
	// streams is the number of streams at the new machine, and killAfter the time from their
	// begin to the kill.
	streams   = 40
	killAfter = 1500 * time.Millisecond
	// deadline is that of the requests, and takeUpPause the time from the end of a channel to the
	// next attempt.
	deadline, takeUpPause = 6 * time.Second, 100 * time.Millisecond
	// maxTakeUps is the number of attempts to take a stream up again, the client's retries of the
	// sheet.
	maxTakeUps = 1
	// allowed is the number of streams with events of two versions that the rule allows.
	allowed = 2
)

func main() {
	if len(os.Args) != 2 {
		os.Exit(lab.CannotRun)
	}
	l := lab.New(os.Args[1])
	var old []*lab.Replica
	for i := range replicas {
		old = append(old, l.NewReplica(fmt.Sprintf("i-a-%02d", i), "asistente", lab.ZoneNames[i%3], "v1", events, pause))
	}
	lab.Config{
		Version: 3, Limits: lab.DefaultLimits(),
		Routes: []lab.Route{{
			Name: "stylist-reply", Type: "streaming", Service: "asistente", TimeoutMS: 6000, TargetMS: 800, MaxAttempts: 2, StreamResume: true, Engine: true,
		}},
		Services: []map[string]any{{"name": "asistente", "healthPath": "/healthz", "maxConnections": 370}},
	}.Write(l.Store)
	store := l.NewLateStore()
	store.Delay = lateBy
	var newKey atomic.Pointer[string] // set when the machine is added
	if l.Trouble {
		store.Loses = func(key string) bool { known := newKey.Load(); return known != nil && key == *known }
	}
	options := lab.DaemonOptions{Store: store.Address(), Duties: []string{"usage_report"}}
	for _, zone := range lab.ZoneNames {
		l.AddDaemon(zone, options).Start()
	}
	for _, d := range l.Daemons {
		d.AwaitReady()
	}
	others := slices.Clone(l.Daemons)
	time.Sleep(steady)
	now := time.Now()
	if os.Getenv("MOMENT") == "any" {
		now = now.Add(-releaseAt - time.Duration(now.UnixNano()%int64(10*time.Second))) // no wait
	}
	time.Sleep(now.Truncate(10 * time.Second).Add(10*time.Second + releaseAt).Sub(now))
	for i := range released {
		l.NewReplica(fmt.Sprintf("i-b-%02d", i), "asistente", old[i].Zone, "v2", events, pause)
		old[i].Drain(drainTime)
		l.Note("release: i-b-%02d (v2) replaces %s (v1)", i, old[i].ID)
		time.Sleep(releaseGap)
	}
	added := l.AddDaemon("cuenca-a", options)
	key := "stream-origins/" + added.Name
	newKey.Store(&key)
	added.Start()
	added.AwaitReady()
	c := &clients{Lab: l}
	for i := range streams {
		c.tasks.Go(func() { c.receive(i, added, others) })
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(killAfter)
	added.Signal(syscall.SIGKILL)
	c.tasks.Wait()
	writes, lost := store.Writes()
	l.Note("store: %d of %d writes lost their answers", lost, writes)
	c.judge()
}

// clients receive streams.
type clients struct {
	*lab.Lab
	tasks sync.WaitGroup

	mu sync.Mutex // guards the fields below
	// streams are the versions in the events of each stream.
	streams         []map[string]bool
	takenUp, wentOn int
}

// receive receives a stream, and takes it up again at another machine when its channel ends.
func (c *clients) receive(client int, first *lab.Daemon, others []*lab.Daemon) {
	firstID, held, end := lab.NewAttemptID(), make(map[string]bool), time.Now().Add(deadline)
	last, complete := c.attempt(first, firstID, "", 0, end, held)
	for i := 0; last > 0 && !complete && i < maxTakeUps; i++ {
		time.Sleep(takeUpPause)
		var got int
		got, complete = c.attempt(others[(client+i)%len(others)], lab.NewAttemptID(), firstID, last, end, held)
		c.mu.Lock()
		c.takenUp++
		if got > 0 {
			c.wentOn++
		}
		c.mu.Unlock()
		last += got
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, held)
	if len(held) > 1 {
		c.Note("stream %s holds events of %v", firstID, slices.Sorted(maps.Keys(held)))
	}
}

// attempt sends one request, adds the versions in the complete events that came to held, and returns
// their number and whether the answer was complete.
func (c *clients) attempt(d *lab.Daemon, id, resumes string, last int, end time.Time, held map[string]bool) (count int, complete bool) {
	r := lab.Request{Method: "POST", Path: "/stylist-reply/1", ID: id, Deadline: time.Until(end), Body: "{}", Header: map[string]string{
		"X-Model": "m", "X-Token-Usage": "2890,60", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:2500,%s:390", id),
	}}
	if resumes != "" {
		r.Header["Last-Event-Id"], r.Header["Resumes"] = fmt.Sprint(last), resumes
	}
	connection, err := lab.Dial("", d.Callers)
	if err != nil {
		c.Note("%s at %s: %v", id, d.Name, err)
		return 0, false
	}
	defer connection.Close()
	_ = connection.SetDeadline(end) // an error shows in the read
	_, _ = io.WriteString(connection, r.Head(fmt.Sprint(len(r.Body)))+r.Body)
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: r.Method})
	if err != nil {
		c.Note("%s at %s: %v", id, d.Name, err)
		return 0, false
	}
	data, err := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		whole := string(data)[:strings.LastIndex("\n\n"+string(data), "\n\n")]
		for event := range strings.SplitSeq(whole, "\n\n") {
			if _, version, ok := strings.Cut(event, "\ndata: "); ok {
				held[strings.TrimSpace(version)] = true
				count++
			}
		}
	}
	c.Note("%s at %s, resumes %q after %d: %d, %d events, complete %t", id, d.Name, resumes, last, response.StatusCode, count, err == nil)
	return count, err == nil && response.StatusCode == http.StatusOK
}

// judge counts the streams that hold events of two versions.
func (c *clients) judge() {
	mixed := 0
	for _, held := range c.streams {
		if len(held) > 1 {
			mixed++
		}
	}
	c.Verdict(mixed > allowed, "%d of %d streams hold events of two versions, allowed %d; %d attempts to take up, %d went on", mixed, len(c.streams), allowed, c.takenUp, c.wentOn)
}
