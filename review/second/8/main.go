// Command 8 plays case 8: replicas crash and start again under the ids that they had, with another
// software version, while the platform's store is away. Two of them crash again after its return, so
// that their streams are resumed.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"acaciapath.example/review/second/fleet"
	"acaciapath.example/standin/relay"
)

// Times and sizes of the case. Those after the beginning count from it.
const (
	settleTime = 6 * time.Second
	// awayTime is how long the store resets all channels: platform_down in the site file.
	awayTime = 8 * time.Second
	// replicaCount replicas serve, of which one crashes at each of steps, and is back after
	// backTime. A replica that crashes reports nothing.
	replicaCount = 8
	backTime     = time.Second
	// crashTime is when crashCount replicas crash for downTime: srv_crash in the site file, which
	// has shares up to 0.25.
	crashTime  = 9500 * time.Millisecond
	crashCount = 2
	downTime   = 2 * time.Second
	// streamRate is the number of streams that begin in a second, from streamsBefore the beginning
	// until streamsUntil, of events events each.
	streamRate    = 8
	streamsBefore = 7 * time.Second
	streamsUntil  = 9 * time.Second
	events        = 30
	eventPause    = 200 * time.Millisecond
	// maxRetries is how often a client takes its stream up again, retryPause after it broke off.
	maxRetries = 1
	retryPause = 300 * time.Millisecond
	// allowed is the number of streams that the rule allows to mix versions.
	allowed = 2
)

// steps are when replicas crash.
var steps = []time.Duration{1 * time.Second, 4 * time.Second, 7 * time.Second}

func main() {
	code, err := play()
	if err != nil {
		fmt.Println("cannot run:", err)
		code = fleet.CannotRun
	}
	os.Exit(code)
}

// play plays the case and returns its exit code.
func play() (int, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := fleet.New(os.Getenv("RECORD"))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	f.Record("trouble: %t", trouble)
	store, err := relay.New("127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer store.Close()
	store.SetTarget(f.Store.Address())
	f.WriteStreamConfig()
	replicas := make([]*fleet.Replica, replicaCount)
	for i := range replicas {
		replicas[i] = &fleet.Replica{ID: fmt.Sprintf("i-%d", i), Version: "v1", Service: "llm", Zone: "zone-a", Streams: true, Pause: eventPause}
		replicas[i].Start()
		defer replicas[i].Close()
		f.Write(replicas[i], "ready")
	}
	vms := make([]*fleet.VM, 3)
	for i := range vms {
		vms[i], err = f.AddVM(fleet.Options{Name: fmt.Sprintf("edge-zone-a-%d", i+1), Zone: "zone-a", Zones: map[string]string{"zone-a": "region-a"}, Store: store.Address(), Duties: []string{"usage_report"}})
		if err != nil {
			return 0, err
		}
		if err := vms[i].Start(); err != nil {
			return 0, err
		}
	}
	if err := f.AwaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)

	began := time.Now().Add(streamsBefore)
	at := func(after time.Duration) { time.Sleep(time.Until(began.Add(after))) }
	var streams []*fleet.Stream
	var clients sync.WaitGroup
	clients.Go(func() { streams = send(f, vms, began.Add(streamsUntil)) })
	at(0)
	if trouble {
		f.Record("disruption: the store resets all channels for %s", awayTime)
		store.SetTarget("")
		store.CloseConnections()
	}
	var restarted sync.WaitGroup
	for i, step := range steps {
		at(step)
		r := replicas[i]
		f.Record("replica %s (version v1) crashes", r.ID)
		r.Close()
		restarted.Go(func() {
			time.Sleep(backTime)
			if err := r.Restart("v2"); err != nil {
				f.Record("replica %s cannot start: %v", r.ID, err)
				return
			}
			f.Record("replica %s is back with version v2", r.ID)
			if trouble {
				at(awayTime) // its writes get no answer until then
			}
			f.Write(r, "ready")
		})
	}
	at(awayTime)
	store.SetTarget(f.Store.Address())
	f.Record("the store is there")
	restarted.Wait()
	at(crashTime)
	for _, r := range replicas[:crashCount] {
		f.Record("replica %s (version v2) crashes", r.ID)
		r.Close()
	}
	at(crashTime + downTime)
	for _, r := range replicas[:crashCount] {
		if err := r.Restart("v2"); err != nil {
			return 0, err
		}
		f.Record("replica %s is back", r.ID)
		f.Write(r, "ready")
	}
	clients.Wait()
	f.RecordRuns(replicas)
	return judge(f, streams), nil
}

// send sends streams until a time, and returns them once all have ended.
func send(f *fleet.Fleet, vms []*fleet.VM, until time.Time) []*fleet.Stream {
	ticker := time.NewTicker(time.Second / streamRate)
	defer ticker.Stop()
	var streams []*fleet.Stream
	var running sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		<-ticker.C
		s := &fleet.Stream{Number: i}
		streams = append(streams, s)
		running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), fleet.StreamDeadline)
			defer cancel()
			s.Attempt(ctx, f, vms[i%len(vms)].Frontend, fmt.Sprintf("first-%d", i), events)
			for retry := 1; !s.Complete && retry <= maxRetries; retry++ {
				time.Sleep(retryPause)
				s.Attempt(ctx, f, vms[(i+retry)%len(vms)].Frontend, fmt.Sprintf("again-%d-%d", i, retry), events)
			}
		})
	}
	running.Wait()
	return streams
}

// judge applies the rule.
func judge(f *fleet.Fleet, streams []*fleet.Stream) int {
	mixed, inOne, complete := 0, 0, 0
	for _, s := range streams {
		f.Record("stream %d: statuses %v, versions %v, last event %d", s.Number, s.Statuses, s.Versions, s.Last)
		if len(s.Versions) > 1 {
			mixed++
			if len(s.Statuses) == 1 {
				inOne++
			}
		}
		if s.Complete {
			complete++
		}
	}
	result := fmt.Sprintf("%d streams, %d complete; %d hold events of two versions, %d of them in one answer (allowed: %d)", len(streams), complete, mixed, inOne, allowed)
	f.Record("%s", result)
	fmt.Println(result)
	if mixed > allowed {
		fmt.Println("ORDER is broken")
		return fleet.Broken
	}
	fmt.Println("ORDER holds")
	return fleet.Held
}
