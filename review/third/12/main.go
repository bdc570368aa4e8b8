// Case 12: the holder of the duties is cut off from the platform while it sends orders. An order that was under
// way must not reach the platform after those of the next holder.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"acaciapath.example/review/third/lab"
)

const (
	// standard is the number of replicas of each zone that are deployed.
	standard = 6
	// steady is the time until the replicas are there and the daemons know each other.
	steady = 25 * time.Second
	// notice and dry are those of the reclaim in one zone (day trouble-1 of the site).
	notice, dry = 2700 * time.Millisecond, 10 * time.Second
	// ordersBefore is the number of moments with accepted orders for that zone after the reclaim, and
	// cutDelay the time from the last of these until the cut begins.
	ordersBefore, cutDelay = 1, 100 * time.Millisecond
	// sameMoment is the time within which orders belong to one moment.
	sameMoment = 200 * time.Millisecond
	// orderTimeout bounds the time until the orders come.
	orderTimeout = 30 * time.Second
	// cut is its length, and after the time that is looked at after it.
	cut, after = 8 * time.Second, 8 * time.Second
	// thawSlack is thawSlackMs.
	thawSlack = 300 * time.Millisecond
)

// links are the ways of a machine to the store and to the platform's API.
type links struct{ store, cloud *lab.Link }

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
	orders := l.NewOrders("asistente", standard)
	machines := make(map[string]links)
	for _, zone := range lab.ZoneNames {
		m := links{l.NewLink(l.Store.Address()), l.NewLink(orders.Address())}
		d := l.AddDaemon(zone, lab.DaemonOptions{Store: m.store.Address(), Cloud: m.cloud.Address(), Duties: []string{"usage_report", "autoscale"}})
		machines[d.Name] = m
		d.Start()
	}
	for _, d := range l.Daemons {
		d.AwaitReady()
	}
	time.Sleep(steady)
	zone := lab.ZoneNames[0]
	moments, wanted, enough := 0, ordersBefore, make(chan string, 1)
	if n, err := strconv.Atoi(os.Getenv("MOMENT")); err == nil {
		wanted = n
	}
	var latest time.Time
	l.Note("all replicas of %s that may be taken away are, %s before they end", zone, notice)
	reclaimed := time.Now()
	orders.OnCall(func(call lab.Call) {
		if call.Path != "/scale" || call.Body["zone"] != zone || call.Status != http.StatusOK || call.At.Sub(latest) < sameMoment || call.At.Before(reclaimed) {
			return
		}
		latest = call.At
		if moments++; moments == wanted {
			enough <- call.Holder
		}
	})
	l.Note("%d replicas", orders.Reclaim(zone, notice, dry))
	var holder string
	select {
	case holder = <-enough:
	case <-time.After(orderTimeout):
		l.Fail("no replicas were ordered again")
	}
	time.Sleep(cutDelay)
	l.Note("%s performs the duties, it has just ordered", holder)
	if l.Trouble {
		m := machines[holder]
		l.Note("%s is cut off from the platform", holder)
		m.store.Cut()
		m.cloud.Cut()
		time.Sleep(cut)
		m.store.Heal()
		m.cloud.Heal()
		l.Note("the cut ends")
	} else {
		time.Sleep(cut)
	}
	healed := time.Now()
	time.Sleep(after)
	judge(l, orders.Calls(), holder, healed)
}

// judge looks for calls with a lower fence number than one that the platform has seen for the same duty
// and subject. Those of the machine that was cut off don't count within thawSlack after the cut.
func judge(l *lab.Lab, calls []lab.Call, holder string, healed time.Time) {
	highest := make(map[string]lab.Call)
	stale := 0
	for _, call := range calls {
		subject := call.Path
		if call.Path == "/scale" {
			subject = fmt.Sprint(call.Path, " ", call.Body["service"], " ", call.Body["zone"])
		}
		l.Note("%s: %s, fence %d: %s %v: %d", call.At.Format("15:04:05.000"), call.Holder, call.Fence, subject, call.Body, call.Status)
		last, known := highest[subject]
		if known && call.Fence < last.Fence {
			since := call.At.Sub(healed)
			excused := call.Holder == holder && since <= thawSlack
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
