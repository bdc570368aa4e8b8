// Command 1 plays case 1: after a desired state has added a route, streams of another route
// go on at another version.
package main

import (
	"fmt"
	"sync"
	"time"

	"acaciapath.example/review/fleet"
)

// Times of the case, from the start of traffic. Nothing changes before streamsAt.
const (
	streamsAt = 2 * time.Second
	changeAt  = 3 * time.Second
	termAt    = 3500 * time.Millisecond
)

const (
	// streams is the number of streams that begin before the change.
	streams = 48
	// replicas is the number of replicas, a third of them in each zone.
	replicas = 18
)

// summary is the sheet of the route that is added: requests that may take longer.
var summary = fleet.Sheet{Aim: 5 * time.Second, Gap: time.Second, Timeout: 20 * time.Second}

func main() { fleet.Main(play) }

func play(run *fleet.Run) bool {
	d := fleet.NewDeployment(run, fleet.CurationLetter)
	for i := range replicas {
		zone := []string{"quito-a", "guayaquil-a", "cuenca-a"}[i%3]
		d.NewChatEngine(run, fmt.Sprintf("i-%d", i), zone, []string{"v1", "v2"}[i/3%2])
	}
	d.StartDaemons(run, "guayaquil-a")
	start := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(start.Add(at))) }

	until(streamsAt)
	var clients sync.WaitGroup
	list := make([]*fleet.Stream, streams)
	for i := range list {
		clients.Go(func() { list[i] = d.Chat(run, i, d.Quito, []*fleet.Daemon{d.Second, d.Cuenca1}[i%2]) })
	}
	until(changeAt)
	if run.Trouble {
		d.AddRoute(run, "summary", summary)
	}
	until(termAt)
	d.Quito.Stop() // planned: a restart of one machine
	d.Quito.Start()
	clients.Wait()
	return fleet.CheckVersions(run, list)
}
