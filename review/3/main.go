// Command 3 plays case 3: after the store was restored from a copy, machines that were cut off
// while a usage window was reported report it once more, with other counts.
package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"acaciapath.example/review/fleet"
)

// Times of the case.
const (
	// window is the length of usage windows (usageWindowS).
	window = 5 * time.Second
	// cutAfter is the time from the start of the first window of which the zone that is cut
	// off writes no part.
	cutAfter = 2 * time.Second
	// reportLimit bounds the time until this window is reported.
	reportLimit = 20 * time.Second
	// copyAge is the age of the copy when the window was reported.
	copyAge = 2 * time.Second
	// copyInterval is the time between two copies of the store.
	copyInterval = 250 * time.Millisecond
	// awayTime is how long the store is away in the drill.
	awayTime = 800 * time.Millisecond
	// secondCut is the length of the cut of the other zone.
	secondCut = 12 * time.Second
	// end is how long the case goes on after the drill.
	end = 40 * time.Second
	// pause is the mean pause of a client between two requests.
	pause = 150 * time.Millisecond
	// clients is the number of clients of each machine.
	clients = 3
)

// short is the sheet of the requests: short answers, of which many are counted.
var short = fleet.Sheet{Aim: 500 * time.Millisecond, Gap: 150 * time.Millisecond, Timeout: 6 * time.Second, Events: 3, Pause: 20 * time.Millisecond}

// zone is the machines of a zone.
type zone struct {
	name          string
	first, second *fleet.Daemon
}

// cut cuts the zone off from the platform.
func (z zone) cut(run *fleet.Run) {
	run.Logf("zone %s is cut off from the platform", z.name)
	z.first.Cut()
	z.second.Cut()
}

// heal ends the cut.
func (z zone) heal(run *fleet.Run) {
	run.Logf("zone %s is no longer cut off", z.name)
	z.first.Heal()
	z.second.Heal()
}

// stored is a copy of the store and when it was made.
type stored struct {
	at   time.Time
	copy *fleet.Copy
}

func main() { fleet.Main(play) }

func play(run *fleet.Run) bool {
	d := fleet.NewDeployment(run, short)
	for i, zone := range []string{"quito-a", "guayaquil-a", "cuenca-a"} {
		d.NewChatEngine(run, fmt.Sprintf("i-%d", i), zone, "v1")
	}
	d.StartDaemons(run, "quito-a")
	var traffic sync.WaitGroup
	stop := make(chan struct{})
	for i, daemon := range []*fleet.Daemon{d.Quito, d.Second, d.Cuenca1, d.Cuenca2} {
		for j := range clients {
			traffic.Go(func() { send(run, d, daemon, fmt.Sprintf("c-%d-%d", i, j), stop) })
		}
	}
	copies := make(chan stored)
	traffic.Go(func() { keepCopies(d.Store, copies, stop) })

	run.Await(4*window, "two windows reported", func() bool { return len(reports(run, d.Cloud)) >= 2 })
	first := time.Now().Truncate(window).Add(window)
	time.Sleep(time.Until(first.Add(cutAfter)))
	cut, other := zone{"cuenca-a", d.Cuenca1, d.Cuenca2}, zone{"quito-a", d.Quito, d.Second}
	if calls := d.Cloud.Calls(); strings.HasPrefix(calls[len(calls)-1].Holder, "edge-"+cut.name) {
		cut, other = other, cut // the holder's zone goes on reporting
	}
	if run.Trouble {
		cut.cut(run)
	}
	id := first.UnixNano() / int64(window)
	run.Await(reportLimit, "the window reported", func() bool { return len(reports(run, d.Cloud)[id]) > 0 })
	run.Logf("window %d was reported", id)
	if run.Trouble {
		run.Logf("drill: the store is away")
		d.Store.SetAway(true)
		for _, daemon := range []*fleet.Daemon{d.Quito, d.Second, d.Cuenca1, d.Cuenca2} {
			daemon.StoreLink.Lose()
		}
		restored := <-copies
		time.Sleep(awayTime)
		other.cut(run)
		cut.heal(run)
		d.Store.Restore(restored.copy)
		d.Store.SetAway(false)
		run.Logf("drill: the store is back from a copy that is %s old", time.Since(restored.at).Round(time.Millisecond))
		time.Sleep(secondCut)
		other.heal(run)
	}
	time.Sleep(end)
	close(stop)
	traffic.Wait()
	broken := false
	for id, counts := range reports(run, d.Cloud) {
		for _, other := range counts[1:] {
			if !maps.Equal(counts[0], other) {
				run.Logf("window %d was reported as %v and as %v", id, counts[0], other)
				broken = true
			}
		}
	}
	return broken
}

// send sends requests to a daemon, one after the other.
func send(run *fleet.Run, d *fleet.Deployment, daemon *fleet.Daemon, name string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		s := d.NewStream(fmt.Sprintf("%s-%d", name, n))
		s.Receive(run, daemon)
	}
}

// keepCopies makes copies of the store, and offers one that is copyAge old.
func keepCopies(store *fleet.Store, offer chan<- stored, stop <-chan struct{}) {
	list := []stored{{at: time.Now(), copy: store.Copy()}}
	for {
		for len(list) > 1 && time.Since(list[1].at) >= copyAge {
			list = list[1:]
		}
		select {
		case <-stop:
			return
		case offer <- list[0]:
			return
		case <-time.After(copyInterval):
			list = append(list, stored{at: time.Now(), copy: store.Copy()})
		}
	}
}

// reports returns the counts of the accepted usage reports, in order, by window.
func reports(run *fleet.Run, cloud *fleet.Cloud) map[int64][]map[string]int {
	all := make(map[int64][]map[string]int)
	for _, call := range cloud.Calls() {
		if call.Path != "/usage" {
			continue
		}
		var report struct {
			WindowID int64          `json:"windowId"`
			Counts   map[string]int `json:"counts"`
		}
		if err := json.Unmarshal([]byte(call.Body), &report); err != nil {
			run.Impossible("usage report: %v", err)
		}
		all[report.WindowID] = append(all[report.WindowID], report.Counts)
	}
	return all
}
