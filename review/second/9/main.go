// Command 9 plays case 9: in a drill, the platform's store comes back from a copy some seconds old.
// Its header Store-Era counts the restorations, so that it is 0 before the first one.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/review/second/fleet"
	"acaciapath.example/standin/loopback"
)

// Times and sizes of the case.
const (
	// window is the length of usage windows, usageWindowS.
	window = 5 * time.Second
	// windowsBefore is the number of windows that are reported before the drill.
	windowsBefore = 3
	// copyBefore is how long before the end of a window the copy is made, and restoreAfter how long
	// after the report of that window was accepted the store comes back from it, after it was away
	// for awayTime.
	copyBefore   = 1200 * time.Millisecond
	restoreAfter = 300 * time.Millisecond
	awayTime     = 300 * time.Millisecond
	// restartDelay is from the store's return to the start of the daemons, which are killed as it
	// goes away.
	restartDelay = 500 * time.Millisecond
	// reportWait bounds the wait for a report, and endWait is how long reports are awaited after
	// the drill.
	reportWait = 30 * time.Second
	endWait    = 25 * time.Second
	// requestRate is the number of requests a second of all clients.
	requestRate = 60
	deadline    = 2 * time.Second
)

func main() {
	code, err := play()
	if err != nil {
		fmt.Println("cannot run:", err)
		code = fleet.CannotRun
	}
	os.Exit(code)
}

// gate passes calls on to the store with the era that it counts from first, unless the store is away.
type gate struct {
	proxy *httputil.ReverseProxy
	first uint64

	mu   sync.Mutex // guards away
	away bool
}

func newGate(target *url.URL, first uint64) *gate {
	g := &gate{first: first}
	g.proxy = &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target) },
		ModifyResponse: func(r *http.Response) error {
			era, err := strconv.ParseUint(r.Header.Get("Store-Era"), 10, 64)
			if err != nil {
				return err
			}
			r.Header.Set("Store-Era", strconv.FormatUint(era-1+g.first, 10)) // the stand-in counts from 1
			return nil
		},
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
		ErrorLog:     log.New(io.Discard, "", 0),
	}
	return g
}

// ServeHTTP passes one call on.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	away := g.away
	g.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	g.proxy.ServeHTTP(w, r)
}

func (g *gate) setAway(away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = away
}

// play plays the case and returns its exit code.
func play() (int, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	first, err := strconv.ParseUint("0"+os.Getenv("FIRST_ERA"), 10, 64)
	if err != nil {
		return 0, err
	}
	f, err := fleet.New(os.Getenv("RECORD"))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	f.Record("trouble: %t, first Store-Era: %d", trouble, first)
	target, err := url.Parse("http://" + f.Store.Address())
	if err != nil {
		return 0, err
	}
	g := newGate(target, first)
	front := loopback.NewServer(g)
	defer front.Close()
	defer front.CloseClientConnections()
	f.Store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "look", "host": fleet.Host, "prefix": "/look/", "type": "safe", "timeoutMs": 1000, "targetLatencyMs": 400, "service": "shop", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "shop", "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 200000, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "apiKeys": []string{"key-a"}}},
	})
	replica := &fleet.Replica{ID: "i-0", Version: "v1", Service: "shop", Zone: "zone-a", Pause: 20 * time.Millisecond}
	replica.Start()
	defer replica.Close()
	f.Write(replica, "ready")
	vms := make([]*fleet.VM, 3)
	for i := range vms {
		vms[i], err = f.AddVM(fleet.Options{Name: fmt.Sprintf("edge-zone-a-%d", i+1), Zone: "zone-a", Zones: map[string]string{"zone-a": "region-a"}, Store: strings.TrimPrefix(front.URL, "http://"), Duties: []string{"usage_report"}})
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() { send(ctx, vms) })

	if !awaitReports(f, windowsBefore, time.Now().Add(reportWait)) {
		fmt.Println("the case did not come about: no reports")
		return fleet.CannotRun, nil
	}
	end := time.Now().Truncate(window).Add(2 * window)
	time.Sleep(time.Until(end.Add(-copyBefore)))
	backup := f.Store.Backup()
	madeAt := time.Now()
	f.Record("a copy of the store is made, %s before the end of window %d", copyBefore, windowID(end)-1)
	if !awaitReport(f, windowID(end)-1, time.Now().Add(reportWait)) {
		fmt.Println("the case did not come about: no report of the window")
		return fleet.CannotRun, nil
	}
	time.Sleep(restoreAfter)
	if trouble {
		f.Record("disruption: all daemons are killed")
		for _, vm := range vms {
			vm.Kill()
		}
		drill(f, g, front.CloseClientConnections, backup, madeAt)
		time.Sleep(restartDelay)
		for _, vm := range vms {
			if err := vm.Start(); err != nil {
				return 0, err
			}
		}
		f.Record("the daemons are started again")
	}
	time.Sleep(endWait)
	cancel()
	clients.Wait()
	return judge(f), nil
}

// drill has the store be away for a moment and come back from a copy.
func drill(f *fleet.Fleet, g *gate, reset func(), backup *platformtest.Backup, madeAt time.Time) {
	f.Record("disruption: the store is away")
	g.setAway(true)
	reset()
	time.Sleep(awayTime)
	written := map[string][]platformtest.Row{"op": f.Store.Rows("op", ""), "servers": f.Store.Rows("servers", "")}
	f.Store.Restore(backup)
	for name, rows := range written { // the operator and the replicas write again
		for _, row := range rows {
			f.Store.WriteBytes(name, row.Key, row.Data)
		}
	}
	g.setAway(false)
	f.Record("the store is back from a copy that is %.1f s old, its era has risen by one", time.Since(madeAt).Seconds())
}

// windowID returns the number of the window that begins at a time.
func windowID(start time.Time) int64 { return start.Unix() / int64(window.Seconds()) }

// awaitReports waits for the reports of some windows.
func awaitReports(f *fleet.Fleet, count int, until time.Time) bool {
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if len(reports(f)) >= count {
			return true
		}
	}
	return false
}

// awaitReport waits for the report of a window.
func awaitReport(f *fleet.Fleet, id int64, until time.Time) bool {
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if len(reports(f)[id]) > 0 {
			return true
		}
	}
	return false
}

// report is a usage report that the platform accepted.
type report struct {
	counts, holder string
	fence          uint64
	at             time.Time
}

// reports returns the reports by window, in their order.
func reports(f *fleet.Fleet) map[int64][]report {
	all := make(map[int64][]report)
	for _, call := range f.Cloud.Calls() {
		id, ok := call.Body["windowId"].(float64)
		if !ok {
			continue
		}
		all[int64(id)] = append(all[int64(id)], report{counts: fmt.Sprint(call.Body["counts"]), holder: call.Holder, fence: call.Fence, at: call.At})
	}
	return all
}

// send sends requests until ctx is done.
func send(ctx context.Context, vms []*fleet.VM) {
	ticker := time.NewTicker(time.Second / requestRate)
	defer ticker.Stop()
	transport := &http.Transport{MaxIdleConnsPerHost: requestRate}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: deadline}
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		<-ticker.C
		running.Go(func() {
			request, err := http.NewRequest(http.MethodGet, "http://"+vms[i%len(vms)].Frontend+"/look/x", nil)
			if err != nil {
				return
			}
			request.Host = fleet.Host
			request.Header.Set("Authorization", "Bearer key-a")
			request.Header.Set("X-Attempt-Id", fmt.Sprintf("look-%d", i))
			request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
			response, err := client.Do(request)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body) // what it holds does not matter here
			_ = response.Body.Close()
		})
	}
}

// judge applies the rule.
func judge(f *fleet.Fleet) int {
	all := reports(f)
	ids := make([]int64, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	twice := 0
	holders := make(map[uint64]string)
	shared := 0
	for _, id := range ids {
		different := false
		for _, r := range all[id] {
			f.Record("usage report of window %d: %s by %s with fence %d", id, r.counts, r.holder, r.fence)
			different = different || r.counts != all[id][0].counts
			if holder, ok := holders[r.fence]; ok && holder != r.holder {
				shared++
			}
			holders[r.fence] = r.holder
		}
		if different {
			twice++
			f.Record("window %d was reported with different counts", id)
		}
	}
	text := fmt.Sprintf("%d windows reported, %d with different counts; %d calls with the fence of another holder", len(ids), twice, shared)
	f.Record("%s", text)
	fmt.Println(text)
	if twice+shared > 0 {
		fmt.Println("ONE is broken")
		return fleet.Broken
	}
	fmt.Println("ONE holds")
	return fleet.Held
}
