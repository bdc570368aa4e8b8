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
	"syscall"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/review/third/lab"
)

const (
	// replicas is the number of replicas of the service, and released that of those that are
	// replaced by ones of another version, one each releaseGap.
	replicas, released = 12, 3
	releaseGap         = time.Second
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
	// maxTakeUps is the number of attempts to take a stream up again.
	maxTakeUps = 3
	// allowed is the number of streams with events of two versions that the rule allows.
	allowed = 2
)

// replica is a replica and its version.
type replica struct {
	*platformtest.Server
	version, zone string
	// born is its start in Unix milliseconds.
	born int64
}

func main() {
	if len(os.Args) != 2 {
		os.Exit(lab.CannotRun)
	}
	l := lab.New(os.Args[1])
	var all []*replica
	add := func(i int, version string) *replica {
		r := &replica{Server: platformtest.NewServer(fmt.Sprintf("i-%s-%02d", version, i), events), version: version, zone: lab.ZoneNames[i%3], born: time.Now().UnixMilli()}
		r.SetPause(pause)
		register(l, r, "ready")
		all = append(all, r)
		return r
	}
	var old []*replica
	for i := range replicas {
		old = append(old, add(i, "v1"))
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
	newName := ""
	if l.Trouble {
		store.Loses = func(key string) bool { return newName != "" && key == "stream-origins/"+newName }
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
	time.Sleep(now.Truncate(10 * time.Second).Add(10*time.Second + releaseAt).Sub(now))
	for i := range released {
		add(i, "v2")
		old[i].SetLeaving(true)
		register(l, old[i], "draining")
		l.Note("release: %s replaces %s", "i-v2", old[i].ID)
		time.Sleep(releaseGap)
	}
	added := l.AddDaemon("cuenca-a", options)
	newName = added.Name
	added.Start()
	added.AwaitReady()
	c := &clients{Lab: l, held: make(map[string]map[string]int)}
	for i := range streams {
		c.tasks.Go(func() { c.receive(i, added, others) })
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(killAfter)
	added.Signal(syscall.SIGKILL)
	c.tasks.Wait()
	writes, lost := store.Writes()
	l.Note("store: %d of %d writes lost their answers", lost, writes)
	c.judge(all)
}

// register writes the entry of a replica with its version.
func register(l *lab.Lab, r *replica, state string) {
	entry := r.Entry("asistente", r.zone, state)
	entry["version"], entry["slots"], entry["born"] = r.version, 64, r.born
	l.Store.Write("servers", r.ID, entry)
}

// clients receive streams.
type clients struct {
	*lab.Lab
	tasks sync.WaitGroup

	mu sync.Mutex // guards the fields below
	// attempts are the ids of the attempts of each stream that brought events.
	streams [][]string
	// held are the numbers of events by replica, for each attempt.
	held            map[string]map[string]int
	takenUp, wentOn int
}

// receive receives a stream, and takes it up again at another machine when its channel ends.
func (c *clients) receive(client int, first *lab.Daemon, others []*lab.Daemon) {
	firstID, last := lab.NewAttemptID(), 0
	ids := []string{firstID}
	n, complete := c.attempt(first, firstID, "", 0)
	last += n
	for i := 0; n > 0 && !complete && i < maxTakeUps; i++ {
		time.Sleep(takeUpPause)
		id := lab.NewAttemptID()
		var got int
		got, complete = c.attempt(others[(client+i)%len(others)], id, firstID, last)
		c.mu.Lock()
		c.takenUp++
		if got > 0 {
			c.wentOn++
			ids = append(ids, id)
		}
		c.mu.Unlock()
		last += got
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, ids)
}

// attempt sends one request and returns the number of complete events and whether the answer was
// complete.
func (c *clients) attempt(d *lab.Daemon, id, resumes string, last int) (count int, complete bool) {
	r := lab.Request{Method: "POST", Path: "/stylist-reply/1", ID: id, Deadline: deadline, Body: "{}", Header: map[string]string{
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
	_ = connection.SetDeadline(time.Now().Add(deadline)) // an error shows in the read
	_, _ = io.WriteString(connection, r.Head(fmt.Sprint(len(r.Body)))+r.Body)
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: r.Method})
	if err != nil {
		c.Note("%s at %s: %v", id, d.Name, err)
		return 0, false
	}
	data, err := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		count = strings.Count(string(data), "\n\n")
	}
	c.Note("%s at %s, resumes %q after %d: %d, %d events, complete %t", id, d.Name, resumes, last, response.StatusCode, count, err == nil)
	return count, err == nil && response.StatusCode == http.StatusOK
}

// judge finds the streams that hold events of two versions.
func (c *clients) judge(all []*replica) {
	versions := make(map[string]map[string]bool) // by attempt
	for _, r := range all {
		for _, received := range r.ReceivedRequests() {
			if !received.Ran {
				continue
			}
			id := received.Header.Get("X-Attempt-Id")
			if versions[id] == nil {
				versions[id] = make(map[string]bool)
			}
			versions[id][r.version] = true
			c.Note("%s (%s) runs %s after event %q", r.ID, r.version, id, received.Header.Get("Last-Event-Id"))
		}
	}
	mixed := 0
	for _, ids := range c.streams {
		held := make(map[string]bool)
		for _, id := range ids {
			maps.Copy(held, versions[id])
		}
		if len(held) > 1 {
			mixed++
			c.Note("stream %s holds events of %v", strings.Join(ids, ", "), slices.Sorted(maps.Keys(held)))
		}
	}
	c.Verdict(mixed > allowed, "%d of %d streams hold events of two versions, allowed %d; %d attempts to take up, %d went on", mixed, len(c.streams), allowed, c.takenUp, c.wentOn)
}
