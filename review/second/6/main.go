// Command 6 plays case 6: the store answers the first report of streams of each daemon not at all
// and performs it some seconds later, as its page allows, while the only replica of a software
// version is replaced. Clients whose channels are reset afterwards take their streams up again.
package main

import (
	"bufio"
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
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciapath.example/review/second/fleet"
	"acaciapath.example/standin/loopback"
	"acaciapath.example/standin/relay"
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
	// streamCount is the number of streams, streamsAfter when they begin and resetAfter when their
	// channels are reset, counted from the beginning of the replacement.
	streamCount  = 120
	streamsAfter = 3500 * time.Millisecond
	resetAfter   = 8 * time.Second
	events       = 60
	eventPause   = 200 * time.Millisecond
	deadline     = 20 * time.Second
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

// stream is a stream of a client.
type stream struct {
	number   int
	first    string
	last     int
	statuses []int
	// versions are the versions of the events, in the order of their first event.
	versions []string
	complete bool
}

// attempt sends the stream to a daemon's address and receives events until it ends.
func (s *stream) attempt(ctx context.Context, f *fleet.Fleet, address, id string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/reply/x", strings.NewReader("prompt"))
	if err != nil {
		return
	}
	request.Host = fleet.Host
	h := request.Header
	h.Set("Authorization", "Bearer key-a")
	h.Set("X-Attempt-Id", id)
	end, _ := ctx.Deadline()
	h.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	h.Set("X-Model", "m")
	h.Set("X-Token-Usage", "400,180")
	h.Set("X-Prefix-Hash", fmt.Sprintf("%x:300,%x:100", 16+s.number%4, 4096+s.number))
	if s.last > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(s.last))
		h.Set("Resumes", s.first)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.statuses = append(s.statuses, 0)
		f.Record("client: stream %d, attempt %s: %v", s.number, id, err)
		return
	}
	defer response.Body.Close()
	s.statuses = append(s.statuses, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		f.Record("client: stream %d, attempt %s: status %d %s", s.number, id, response.StatusCode, strings.TrimSpace(string(text)))
		return
	}
	lines := bufio.NewScanner(response.Body)
	number := 0
	for lines.Scan() {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(value)
		}
		value, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if s.last == 0 {
			s.first = id
		}
		s.last = number
		version, _, _ := strings.Cut(value, " ")
		if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
			s.versions = append(s.versions, version)
			f.Record("client: stream %d, attempt %s: event %d comes from %s", s.number, id, number, value)
		}
	}
	s.complete = lines.Err() == nil && s.last == events
}

// writeConfig writes the desired state.
func writeConfig(f *fleet.Fleet) {
	f.Store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "reply", "host": fleet.Host, "prefix": "/reply/", "type": "streaming", "timeoutMs": deadline.Milliseconds(),
			"targetLatencyMs": 800, "gapTargetMs": 600, "service": "llm", "maxAttempts": 2, "sessionAffinity": true, "streamResume": true, "priority": 1,
		}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/healthz", "runtime": map[string]any{"slots": 64, "kvCapacity": 500000, "stride": 3}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 200000, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "apiKeys": []string{"key-a"}}},
	})
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

	writeConfig(f)
	var replicas []*fleet.Replica
	add := func(id, version string) *fleet.Replica {
		r := &fleet.Replica{ID: id, Version: version, Service: "llm", Zone: "zone-a", Events: events, Pause: eventPause}
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
	links := make([]*relay.Relay, 3)
	for i := range links {
		vm, err := f.AddVM(fleet.Options{Name: fmt.Sprintf("edge-zone-a-%d", i+1), Zone: "zone-a", Zones: zones, Store: strings.TrimPrefix(front.URL, "http://"), Duties: []string{"usage_report"}})
		if err != nil {
			return 0, err
		}
		if links[i], err = relay.New("127.0.0.1:0"); err != nil {
			return 0, err
		}
		defer links[i].Close()
		links[i].SetTarget(vm.Frontend)
		if err := vm.Start(); err != nil {
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
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	streams := make([]*stream, streamCount)
	var clients sync.WaitGroup
	for i := range streams {
		s := &stream{number: i}
		streams[i] = s
		clients.Go(func() {
			s.attempt(ctx, f, links[i%len(links)].Address(), fmt.Sprintf("first-%d", i))
			for retry := 1; !s.complete && retry <= 3 && ctx.Err() == nil; retry++ {
				time.Sleep(300 * time.Millisecond)
				s.attempt(ctx, f, links[(i+retry)%len(links)].Address(), fmt.Sprintf("again-%d-%d", i, retry))
			}
		})
	}
	time.Sleep(time.Until(began.Add(resetAfter)))
	f.Record("clients' channels are reset")
	for _, link := range links {
		link.CloseConnections()
	}
	clients.Wait()
	f.RecordRuns(replicas)
	return judge(f, store, streams, trouble), nil
}

// judge applies the rule.
func judge(f *fleet.Fleet, store *lossyStore, streams []*stream, trouble bool) int {
	mixed, again, complete, second := 0, 0, 0, 0
	for _, s := range streams {
		f.Record("stream %d: first attempt %s, statuses %v, versions %v, last event %d", s.number, s.first, s.statuses, s.versions, s.last)
		if len(s.versions) > 1 {
			mixed++
		}
		if len(s.statuses) > 1 {
			again++
		}
		if s.complete {
			complete++
		}
		if len(s.versions) > 0 && s.versions[0] == "v2" {
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
	case second <= allowed || again < len(streams)/2 || trouble && (lost == 0 || float64(lost) > maxLostShare*float64(writes)):
		fmt.Println("the case did not come about")
		return fleet.CannotRun
	case mixed > allowed:
		fmt.Println("ORDER is broken")
		return fleet.Broken
	}
	fmt.Println("ORDER holds")
	return fleet.Held
}
