// Command 7 plays case 7: the store answers the first report of streams of each daemon not at all
// and performs it some seconds later, as its page allows, while the only replica of a software
// version is replaced. A daemon is killed afterwards, and its clients take their streams up again.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"acaciapath.example/review/second/fleet"
	"acaciapath.example/standin/loopback"
)

// Times and sizes of the case.
const (
	// settleTime is the least time from the first readiness to the replacement, which begins
	// beforeTick before a multiple of tick by the wall clock: daemons change their plans together
	// then (docs/design/platform.md).
	settleTime = 6 * time.Second
	tick       = 10 * time.Second
	beforeTick = 2900 * time.Millisecond
	// lossTime is how long after the replacement began the store may lose answers: the dose
	// of platform_lost (late) in the site file.
	lossTime = 4500 * time.Millisecond
	// lateTime is how long after its arrival a write whose answer is lost is performed; fleetbench
	// kinds: 1 to 6 s later.
	lateTime = 5800 * time.Millisecond
	// drainTime is from the report of the replica that leaves to the removal of its entry.
	drainTime = 2500 * time.Millisecond
	// absentTime is the time between the replica that leaves and the next one.
	absentTime = 1500 * time.Millisecond
	// streamCount is the number of streams, streamsAfter when they begin and killAfter when one of
	// three daemons is killed, counted from the beginning of the replacement. It is started again
	// after restartDelay.
	streamCount  = 120
	streamsAfter = 3500 * time.Millisecond
	killAfter    = 8 * time.Second
	restartDelay = 500 * time.Millisecond
	events       = 60
	eventPause   = 200 * time.Millisecond
	// allowed is the number of streams that the rule allows to mix versions.
	allowed = 2
	// maxLostShare is the largest share of writes that platform_lost loses in the site file.
	maxLostShare = 0.35
)

func main() {
	code, err := play()
	if err != nil {
		fmt.Println("cannot run:", err)
		code = fleet.CannotRun
	}
	os.Exit(code)
}

// lossyStore passes calls on to the store, and loses the answers to some writes.
type lossyStore struct {
	fleet  *fleet.Fleet
	target string
	proxy  *httputil.ReverseProxy

	mu    sync.Mutex // guards the fields below
	until time.Time
	// reported are the rows of streams whose write was lost.
	reported     map[string]bool
	writes, lost int
}

// transaction is the body of a write.
type transaction struct {
	Write []struct {
		Key  string `json:"key"`
		Data []byte `json:"data"`
	} `json:"write"`
}

// lose loses answers until a time.
func (s *lossyStore) lose(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = until
}

// ServeHTTP passes one call on.
func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		s.proxy.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if key, loses := s.loses(body); loses {
		s.fleet.Record("store: the answer to a write of %s is lost, performed %s later: %s", key, lateTime, rowText(body))
		path := r.URL.Path
		time.AfterFunc(lateTime, func() {
			response, err := http.Post("http://"+s.target+path, "application/json", bytes.NewReader(body))
			if err != nil {
				s.fleet.Record("store: the late write of %s failed: %v", key, err)
				return
			}
			_ = response.Body.Close()
			s.fleet.Record("store: the late write of %s is performed: %d", key, response.StatusCode)
		})
		panic(http.ErrAbortHandler)
	}
	if text := rowText(body); text != "" {
		s.fleet.Record("store: write %s", text)
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	s.proxy.ServeHTTP(w, r)
}

// loses reports whether the answer to a write is lost, and the key that it writes: of each row of
// streams, the first write in the time in which answers are lost.
func (s *lossyStore) loses(body []byte) (key string, loses bool) {
	var t transaction
	if json.Unmarshal(body, &t) != nil {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.until) {
		return "", false
	}
	s.writes++
	for _, row := range t.Write {
		if strings.HasPrefix(row.Key, "stream-origins/") && !s.reported[row.Key] {
			s.reported[row.Key] = true
			s.lost++
			return row.Key, true
		}
	}
	return "", false
}

// rowText returns the row of streams that a write has, or an empty string.
func rowText(body []byte) string {
	var t transaction
	if json.Unmarshal(body, &t) != nil {
		return ""
	}
	for _, row := range t.Write {
		if strings.HasPrefix(row.Key, "stream-origins/") {
			return row.Key + " = " + string(row.Data)
		}
	}
	return ""
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
	target, err := url.Parse("http://" + f.Store.Address())
	if err != nil {
		return 0, err
	}
	store := &lossyStore{fleet: f, target: f.Store.Address(), proxy: &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target) }, ErrorLog: log.New(io.Discard, "", 0)}, reported: make(map[string]bool)}
	front := loopback.NewServer(store)
	defer front.Close()
	defer front.CloseClientConnections()

	f.WriteStreamConfig()
	var replicas []*fleet.Replica
	add := func(id, version string) *fleet.Replica {
		r := &fleet.Replica{ID: id, Version: version, Service: "llm", Zone: "zone-a", Streams: true, Pause: eventPause}
		r.Start()
		replicas = append(replicas, r)
		f.Write(r, "ready")
		return r
	}
	defer func() {
		for _, r := range replicas {
			r.Close()
		}
	}()
	for i := range 3 {
		add(fmt.Sprintf("i-old-%d", i), "v1")
	}
	leaving := add("i-new-0", "v2")
	zones := map[string]string{"zone-a": "region-a"}
	vms := make([]*fleet.VM, 3)
	for i := range vms {
		vms[i], err = f.AddVM(fleet.Options{Name: fmt.Sprintf("edge-zone-a-%d", i+1), Zone: "zone-a", Zones: zones, Store: strings.TrimPrefix(front.URL, "http://"), Duties: []string{"usage_report"}})
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
	settled := time.Now().Add(settleTime + beforeTick)
	time.Sleep(time.Until(settled.Truncate(tick).Add(tick - beforeTick)))

	began := time.Now()
	if trouble {
		store.lose(began.Add(lossTime))
		f.Record("disruption: the store loses answers for %s", lossTime)
	}
	f.Write(leaving, "draining")
	time.AfterFunc(drainTime, func() { f.Remove(leaving) })
	time.Sleep(absentTime)
	add("i-new-1", "v2")

	time.Sleep(time.Until(began.Add(streamsAfter)))
	ctx, cancel := context.WithTimeout(context.Background(), fleet.StreamDeadline)
	defer cancel()
	streams := make([]*fleet.Stream, streamCount)
	var clients sync.WaitGroup
	for i := range streams {
		s := &fleet.Stream{Number: i}
		streams[i] = s
		clients.Go(func() {
			s.Attempt(ctx, f, vms[i%len(vms)].Frontend, fmt.Sprintf("first-%d", i), events)
			for retry := 1; !s.Complete && retry <= 3 && ctx.Err() == nil; retry++ {
				time.Sleep(300 * time.Millisecond)
				s.Attempt(ctx, f, vms[(i+retry)%len(vms)].Frontend, fmt.Sprintf("again-%d-%d", i, retry), events)
			}
		})
	}
	time.Sleep(time.Until(began.Add(killAfter)))
	f.Record("%s is killed", vms[0].Name)
	vms[0].Kill()
	time.Sleep(restartDelay)
	if err := vms[0].Start(); err != nil {
		return 0, err
	}
	clients.Wait()
	f.RecordRuns(replicas)
	return judge(f, store, streams, trouble), nil
}

// judge applies the rule.
func judge(f *fleet.Fleet, store *lossyStore, streams []*fleet.Stream, trouble bool) int {
	mixed, again, complete, second := 0, 0, 0, 0
	for _, s := range streams {
		f.Record("stream %d: first attempt %s, statuses %v, versions %v, last event %d", s.Number, s.First, s.Statuses, s.Versions, s.Last)
		if len(s.Versions) > 1 {
			mixed++
		}
		if len(s.Statuses) > 1 {
			again++
		}
		if s.Complete {
			complete++
		}
		if len(s.Versions) > 0 && s.Versions[0] == "v2" {
			second++
		}
	}
	store.mu.Lock()
	writes, lost := store.writes, store.lost
	store.mu.Unlock()
	result := fmt.Sprintf("%d streams, %d began at v2, %d taken up again, %d complete; %d hold events of two versions (allowed: %d); answers lost: %d of %d writes",
		len(streams), second, again, complete, mixed, allowed, lost, writes)
	f.Record("%s", result)
	fmt.Println(result)
	switch {
	case second <= allowed || again < len(streams)/4 || trouble && (lost == 0 || float64(lost) > maxLostShare*float64(writes)):
		fmt.Println("the case did not come about")
		return fleet.CannotRun
	case mixed > allowed:
		fmt.Println("ORDER is broken")
		return fleet.Broken
	}
	fmt.Println("ORDER holds")
	return fleet.Held
}
