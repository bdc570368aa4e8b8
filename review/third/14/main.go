// Case 14: the desired state gets more tenants, all within the store's limits. Their usage must be
// reported for each window.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/review/third/lab"
)

const (
	// manyTenants is the number of tenants after the change, and fewTenants that without the
	// disruption. Each sends a request in each window.
	manyTenants, fewTenants = 600, 10
	// requestsPerWindow is the number of requests in a window, spread over the tenants.
	requestsPerWindow = 600
	// window and late are usageWindowS and usageLateS, and tolerance usageTolerance.
	window, late, tolerance = 5 * time.Second, 10 * time.Second, 0.05
	// traffic is how long requests are sent, and judged the number of windows within it that are
	// judged: the first and the last are left out.
	traffic, minJudged = 41 * time.Second, 6
	// settle is the time before the traffic, in which the daemons know each other.
	settle = 6 * time.Second
	// workers is the number of requests that are sent at a time at most, and deadline theirs.
	workers, deadline = 64, 2 * time.Second
)

func main() {
	if len(os.Args) != 2 {
		os.Exit(lab.CannotRun)
	}
	l := lab.New(os.Args[1])
	store := l.StoreWithRowLimit()
	for i := range 6 {
		shop := platformtest.NewServer(fmt.Sprint("i-shop-", i), 0)
		shop.SetPause(10 * time.Millisecond)
		l.Register(shop, "tienda", lab.ZoneNames[i%3], "ready")
	}
	config := lab.Config{
		Version: 3, Limits: lab.DefaultLimits(),
		Routes:   []lab.Route{{Name: "order-status", Type: "safe", Service: "tienda", TimeoutMS: 2000, TargetMS: 400, MaxAttempts: 1}},
		Services: []map[string]any{{"name": "tienda", "healthPath": "/healthz", "maxConnections": 110}},
		Tenants:  tenantNames(fewTenants),
	}
	config.Write(l.Store)
	for _, zone := range lab.ZoneNames {
		l.AddDaemon(zone, lab.DaemonOptions{Store: strings.TrimPrefix(store.URL, "http://"), Duties: []string{"usage_report"}}).Start()
	}
	for _, d := range l.Daemons {
		d.AwaitReady()
	}
	time.Sleep(settle)
	if l.Trouble {
		config.Version, config.Tenants = 7, tenantNames(manyTenants)
		config.Write(l.Store)
		l.Note("desired state with %d tenants: %d bytes, at most %d", manyTenants, len(l.Store.Rows("op", "")[0].Data), lab.RowBytes)
		if len(l.Store.Rows("op", "")[0].Data) > lab.RowBytes {
			l.Fail("the desired state is too large for a row")
		}
		time.Sleep(3 * time.Second) // configApplyMs is 2,500
	}
	began := time.Now()
	ran := send(l, config.Tenants)
	ended := time.Now()
	time.Sleep(window + late)
	judge(l, began, ended, ran)
}

// tenantNames returns the names of n tenants.
func tenantNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("hule%03d", i)
	}
	return names
}

// send sends requests of all tenants at an even pace, and returns the number that was served by
// window and tenant. The replicas begin a request within milliseconds.
func send(l *lab.Lab, tenants []string) map[int64]map[string]int {
	ran := make(map[int64]map[string]int)
	var mu sync.Mutex // guards ran
	var group sync.WaitGroup
	slots := make(chan struct{}, workers)
	served, failed := 0, 0
	ticker := time.NewTicker(window / requestsPerWindow)
	defer ticker.Stop()
	for n, end := 0, time.Now().Add(traffic); time.Now().Before(end); n++ {
		<-ticker.C
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			tenant := tenants[n%len(tenants)]
			at := time.Now().UnixMilli() / window.Milliseconds()
			a := lab.Send(l.Daemons[n%len(l.Daemons)].Callers, lab.Request{
				Method: "GET", Path: "/order-status/1", ID: lab.NewAttemptID(), Deadline: deadline, Key: lab.KeyOf(tenant),
			})
			mu.Lock()
			defer mu.Unlock()
			if a.Status != 200 {
				failed++
				return
			}
			served++
			if ran[at] == nil {
				ran[at] = make(map[string]int)
			}
			ran[at][tenant]++
		})
	}
	group.Wait()
	l.Note("%d requests were served, %d not", served, failed)
	return ran
}

// judge compares the reports with what ran.
func judge(l *lab.Lab, began, ended time.Time, ran map[int64]map[string]int) {
	type report struct {
		at     time.Time
		counts map[string]any
	}
	reports := make(map[int64]report)
	for _, call := range l.Cloud.Calls() {
		if call.Path != "/usage" {
			continue
		}
		id, _ := call.Body["windowId"].(float64)
		counts, _ := call.Body["counts"].(map[string]any)
		if _, known := reports[int64(id)]; !known {
			reports[int64(id)] = report{at: call.At, counts: counts}
		}
	}
	length := window.Milliseconds()
	judged, wrong := 0, 0
	for id := began.UnixMilli()/length + 1; id < ended.UnixMilli()/length; id++ {
		judged++
		end := time.UnixMilli((id + 1) * length)
		r, reported := reports[id]
		truth, sum, off := 0, 0.0, 0.0
		for tenant, n := range ran[id] {
			truth += n
			got, _ := r.counts[tenant].(float64)
			sum += got
			off += max(got-float64(n), float64(n)-got)
		}
		switch {
		case !reported:
			wrong++
			l.Note("window %d: %d requests of %d tenants ran, not reported", id, truth, len(ran[id]))
		case r.at.Sub(end) > late || off > tolerance*float64(truth):
			wrong++
			l.Note("window %d: %d requests of %d tenants ran, reported %.0f, off by %.0f, %.1f s after its end", id, truth, len(ran[id]), sum, off, r.at.Sub(end).Seconds())
		default:
			l.Note("window %d: %d requests of %d tenants ran, reported %.0f, %.1f s after its end", id, truth, len(ran[id]), sum, r.at.Sub(end).Seconds())
		}
	}
	if judged < minJudged {
		l.Fail("only %d windows", judged)
	}
	l.Verdict(2*wrong > judged, "usage of %d of %d windows was not reported in time or is off, allowed half", wrong, judged)
}
