// Case 12: the holder of the duties is cut off from the platform while it sends orders. An order that was under
// way must not reach the platform after those of the next holder.
package main

import (
	"fmt"
	"os"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/review/third/lab"
)

const (
	// standard and cheap are the numbers of replicas of each zone.
	standard, cheap = 6, 6
	// steady is the time until the replicas are there and the daemons know each other.
	steady = 25 * time.Second
	// drainGap is the time between two replicas that drain.
	drainGap = 100 * time.Millisecond
	// drainsBefore is the number of them before the cut.
	drainsBefore = 8
	// cut is its length, and after the time that is looked at after it.
	cut, after = 8 * time.Second, 10 * time.Second
	// thawSlack is thawSlackMs.
	thawSlack = 300 * time.Millisecond
)

func main() {
	if len(os.Args) != 2 {
		os.Exit(lab.CannotRun)
	}
	l := lab.New(os.Args[1])
	lab.Config{
		Version: 3, Limits: lab.DefaultLimits(),
		Routes: []lab.Route{{Name: "pattern-chat", Type: "streaming", Service: "asistente", TimeoutMS: 15000, TargetMS: 500, MaxAttempts: 1, Engine: true}},
		Services: []map[string]any{{
			"name": "asistente", "healthPath": "/healthz", "maxConnections": 370,
			"runtime": map[string]any{"slots": 64, "kvCapacity": 639748, "kvTokenBytes": 163840, "linkMbps": 150000, "moves": true, "stride": 3},
			"scaling": map[string]any{"min": 1, "max": 12, "bootS": 4, "spotPrice": 0.22, "zonePrices": map[string]float64{"quito-a": 1, "guayaquil-a": 0.8, "cuenca-a": 1.25}},
		}},
	}.Write(l.Store)
	servers := make(map[string][]*platformtest.Server) // cheap ones by zone
	for _, zone := range lab.ZoneNames {
		for i := range standard {
			register(l, platformtest.NewServer(fmt.Sprintf("i-%s-%d", zone, i), 20), zone, "ready", false)
		}
	}
	type machine struct{ store, cloud *lab.Link }
	machines := make(map[string]machine)
	for _, zone := range lab.ZoneNames {
		m := machine{l.NewLink(l.Store.Address()), l.NewLink(l.Cloud.Address())}
		d := l.AddDaemon(zone, lab.DaemonOptions{Store: m.store.Address(), Cloud: m.cloud.Address(), Duties: []string{"usage_report", "autoscale"}})
		machines[d.Name] = m
		d.Start()
	}
	for _, d := range l.Daemons {
		d.AwaitReady()
	}
	time.Sleep(steady / 3)
	for _, zone := range lab.ZoneNames {
		for i := range cheap {
			s := platformtest.NewServer(fmt.Sprintf("i-%s-spot-%d", zone, i), 20)
			servers[zone] = append(servers[zone], s)
			register(l, s, zone, "ready", true)
		}
	}
	time.Sleep(steady - steady/3)
	calls := l.Cloud.Calls()
	if len(calls) == 0 {
		l.Fail("nobody performs the duties")
	}
	holder := calls[len(calls)-1].Holder
	l.Note("%s performs the duties", holder)
	var healed time.Time
	drained := 0
	for _, zone := range lab.ZoneNames {
		for _, s := range servers[zone] {
			l.Note("%s drains", s.ID)
			s.SetLeaving(true)
			register(l, s, zone, "draining", true)
			if drained++; drained == drainsBefore && l.Trouble {
				time.Sleep(drainGap / 2)
				l.Note("%s is cut off from the platform", holder)
				machines[holder].store.Cut()
				machines[holder].cloud.Cut()
				time.AfterFunc(cut, func() {
					machines[holder].store.Heal()
					machines[holder].cloud.Heal()
					healed = time.Now()
					l.Note("the cut ends")
				})
			}
			time.Sleep(drainGap)
		}
	}
	time.Sleep(cut + after - time.Duration(drained)*drainGap)
	judge(l, holder, healed)
}

// register writes the entry of a replica.
func register(l *lab.Lab, s *platformtest.Server, zone, state string, spot bool) {
	entry := s.Entry("asistente", zone, state)
	entry["slots"] = 64
	if spot {
		entry["spot"] = true
	}
	l.Store.Write("servers", s.ID, entry)
}

// judge looks for calls with a lower fence number than one that the platform has seen for the same duty
// and subject.
func judge(l *lab.Lab, holder string, healed time.Time) {
	highest := make(map[string]platformtest.CloudCall)
	stale := 0
	for _, call := range l.Cloud.Calls() {
		subject := call.Path
		if call.Path == "/scale" {
			subject = fmt.Sprint(call.Path, " ", call.Body["service"], " ", call.Body["zone"])
		}
		l.Note("%s: %s, fence %d: %s %v", call.At.Format("15:04:05.000"), call.Holder, call.Fence, subject, call.Body)
		last, known := highest[subject]
		if known && call.Fence < last.Fence {
			since := call.At.Sub(healed)
			excused := call.Holder == holder && since >= 0 && since < thawSlack
			l.Note("stale: %s acts with fence %d after %s with %d, %.1f s after the cut, excused %t", call.Holder, call.Fence, last.Holder, last.Fence, since.Seconds(), excused)
			if !excused {
				stale++
			}
		}
		if !known || call.Fence > last.Fence {
			highest[subject] = call
		}
	}
	l.Verdict(stale > 0, "%d calls of a former holder with a lower fence number than the platform had seen", stale)
}
