// Command 2 plays case 2: after a machine was removed for good, streams that are taken up
// again around a release are refused.
package main

import (
	"fmt"
	"sync"
	"time"

	"acaciapath.example/review/fleet"
)

// Times of the case, from the start of traffic.
const (
	removeAt  = 1 * time.Second
	releaseAt = 11 * time.Second
	// releaseGap is the pause between two replicas of the release (gap_s of the sites).
	releaseGap = 1 * time.Second
	// drainTime is how long a draining replica serves: drainMs and a little longer.
	drainTime = 3 * time.Second
	// streamsAt is when streams begin at the machine that is restarted, after the last
	// replica was replaced.
	streamsAt = 18 * time.Second
	termAt    = 19 * time.Second
	// newAt is when as many new streams begin at the machines where the others are taken
	// up again.
	newAt = 26 * time.Second
)

// streams is the number of streams that are taken up again, and of new ones beside them.
// LOST judges 12 or more.
const streams = 48

func main() { fleet.Main(play) }

func play(run *fleet.Run) bool {
	d := fleet.NewDeployment(run, fleet.PatternChat)
	zones := []string{"quito-a", "guayaquil-a", "cuenca-a"}
	var old []*fleet.Engine
	for i, zone := range zones {
		old = append(old, d.NewChatEngine(run, fmt.Sprintf("i-one-%d", i), zone, "v1"))
	}
	for i, zone := range zones {
		d.NewChatEngine(run, fmt.Sprintf("i-two-%d", i), zone, "v2")
	}
	d.StartDaemons(run, "guayaquil-a")
	start := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(start.Add(at))) }

	until(removeAt)
	if run.Trouble {
		run.Logf("%s is removed for good", d.Cuenca2.Name)
		d.Cuenca2.Stop()
	}
	until(releaseAt)
	for i, e := range old { // planned: a release of half of the replicas, one after the other
		d.NewChatEngine(run, fmt.Sprintf("i-three-%d", i), e.Zone, "v3")
		e.Drain(drainTime)
		time.Sleep(releaseGap)
	}
	until(streamsAt)
	var clients sync.WaitGroup
	again, begun := make([]*fleet.Stream, streams), make([]*fleet.Stream, streams)
	for i := range again {
		clients.Go(func() { again[i] = d.Chat(run, i, d.Quito, []*fleet.Daemon{d.Second, d.Cuenca1}[i%2]) })
	}
	until(termAt)
	clients.Go(func() {
		d.Quito.Stop() // planned: a restart of one machine
		d.Quito.Start()
	})
	until(newAt)
	for i := range begun {
		daemons := []*fleet.Daemon{d.Second, d.Cuenca1}
		clients.Go(func() { begun[i] = d.Chat(run, streams+i, daemons[i%2], daemons[1-i%2]) })
	}
	clients.Wait()
	return fleet.CheckTakenUp(run, again, begun)
}
