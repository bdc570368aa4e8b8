package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// versionedFleet is a service of model engines whose software has several versions. The data
// of each event names the version.
type versionedFleet struct {
	*deployment
	// engines are the running engines by id.
	engines map[string]*httptest.Server
}

// streamEvents is the number of events of a stream.
const streamEvents = 40

func newVersionedFleet(t *testing.T) *versionedFleet {
	f := &versionedFleet{deployment: newDeployment(t), engines: make(map[string]*httptest.Server)}
	f.writeConfig(3, askRoute())
	return f
}

// askRoute returns the route of the streams.
func askRoute() map[string]any {
	return map[string]any{
		"name": "ask", "host": "shop.example", "prefix": "/ask/", "type": "streaming", "sessionAffinity": true,
		"timeoutMs": 20000, "targetLatencyMs": 500, "service": "llm", "maxAttempts": 3, "streamResume": true,
	}
}

// writeConfig writes a configuration with the given routes.
func (f *versionedFleet) writeConfig(version int, routes ...map[string]any) {
	f.store.Write("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "llm", "healthPath": "/healthz", "runtime": map[string]any{"slots": 64, "kvCapacity": 500000, "stride": 3}}},
		"limits":   map[string]any{"maxBodyBytes": 1000},
		"tenants":  []any{map[string]any{"name": "account-a", "apiKeys": []string{"k"}}},
	})
}

// startEngine starts an engine of a version and lists it.
func (f *versionedFleet) startEngine(id, version string) {
	server := loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if r.Header.Get("X-Expected-Replica") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.Set("X-Replica-Signature", platformtest.Signature)
		h.Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none counts as 0
		controller := http.NewResponseController(w)
		for i := last + 1; i <= streamEvents; i++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(25 * time.Millisecond):
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
			_ = controller.Flush()
		}
	}))
	f.Cleanup(server.CloseClientConnections)
	f.engines[id] = server
	f.store.Write("servers", id, map[string]any{
		"service": "llm", "address": strings.TrimPrefix(server.URL, "http://"), "zone": "z", "version": version,
		"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// startEngines starts engines of the given versions, by id.
func (f *versionedFleet) startEngines(versions map[string]string) {
	for id, version := range versions {
		f.startEngine(id, version)
	}
}

// crashEngine crashes an engine, whose entry stays for a while.
func (f *versionedFleet) crashEngine(id string) {
	server := f.engines[id]
	delete(f.engines, id)
	_ = server.Listener.Close()
	server.CloseClientConnections()
	time.AfterFunc(time.Second, func() { f.store.Remove("servers", id) })
}

// callerStream is what a caller received of a stream.
type callerStream struct {
	// attempt is the id of the attempt that brought the first event.
	attempt string
	// status is the status of the last attempt, or 0 if there was no answer.
	status int
	events int
	// versions are the versions in the events.
	versions map[string]bool
}

// receive sends an attempt and receives events until the stream ends, or until there are most
// of them, when the caller disconnects.
func (s *callerStream) receive(d *runningDaemon, attempt string, most int) {
	s.receiveWithin(d, attempt, most, 15*time.Second)
}

// receiveWithin is like receive, with the time for which the caller waits.
func (s *callerStream) receiveWithin(d *runningDaemon, attempt string, most int, wait time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.settings.CallersAddress+"/ask/7/x", strings.NewReader("x"))
	if err != nil {
		return
	}
	request.Host = "shop.example"
	h := request.Header
	h.Set("Authorization", "Bearer k")
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	h.Set("X-Model", "m")
	h.Set("X-Token-Usage", "400,50")
	h.Set("X-Prefix-Hash", attempt[:1]+":300,2:100")
	if s.events > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(s.events))
		h.Set("Resumes", s.attempt)
	} else {
		s.attempt = attempt
	}
	s.status = 0
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	if s.status != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(response.Body)
	for s.events < most && lines.Scan() {
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.events++
			s.versions[version] = true
		}
	}
}

// receiveAll has n callers send an attempt each at once, to the daemons in turn.
func receiveAll(streams []*callerStream, daemons []*runningDaemon, name string, most int) {
	var group sync.WaitGroup
	for i, s := range streams {
		group.Go(func() { s.receive(daemons[i%len(daemons)], fmt.Sprintf("%x-%s-%d", i%16, name, i), most) })
	}
	group.Wait()
}

// startDaemons starts daemons that serve the route.
func (f *versionedFleet) startDaemons(n int) []*runningDaemon {
	var daemons []*runningDaemon
	for i := range n {
		daemons = append(daemons, f.start(fmt.Sprintf("vm-%d", i)))
	}
	f.eventually("all serve", func() bool {
		for i, d := range daemons {
			probe := &callerStream{versions: make(map[string]bool)}
			if probe.receive(d, fmt.Sprintf("0-probe-%d", i), 1); probe.status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return daemons
}

// checkVersions checks that no stream has events of two versions, and that at least half of
// the streams of the given versions were received as a whole.
func (f *versionedFleet) checkVersions(streams []*callerStream, serving ...string) {
	whole, expected, mixed := 0, 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
			continue
		}
		for _, version := range serving {
			if s.versions[version] {
				expected++
				if s.events == streamEvents {
					whole++
				}
			}
		}
	}
	f.Check(mixed, qt.Equals, 0, qt.Commentf("streams with events of two versions, of %d", len(streams)))
	f.Check(2*whole >= expected, qt.IsTrue, qt.Commentf("%d of %d streams went on", whole, expected))
	f.Logf("%d streams, %d of serving versions, %d of them whole, %d with two versions", len(streams), expected, whole, mixed)
}

// TestStreamsGoOnAtTheirVersion has streams break off while engines of two versions serve:
// in one answer, when callers take them up at another daemon, and after all daemons have
// restarted, with both versions or one of them left.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	for name, test := range map[string]struct {
		interrupt func(f *versionedFleet, daemons []*runningDaemon) []*runningDaemon
		serving   []string
		// events is the number of events that callers have when their streams break off,
		// and pause the time from then to the interruption.
		events int
		pause  time.Duration
	}{
		"another daemon": {
			interrupt: func(_ *versionedFleet, daemons []*runningDaemon) []*runningDaemon {
				return append(daemons[1:], daemons[0])
			},
			serving: []string{"v1", "v2"}, events: 30, pause: 300 * time.Millisecond,
		},
		"all daemons restarted": {
			interrupt: func(f *versionedFleet, daemons []*runningDaemon) []*runningDaemon {
				for _, d := range daemons {
					d.stop()
				}
				return f.startDaemons(len(daemons))
			},
			serving: []string{"v1", "v2"}, events: 30, pause: 300 * time.Millisecond,
		},
		"all daemons restarted just after streams began": {
			interrupt: func(f *versionedFleet, daemons []*runningDaemon) []*runningDaemon {
				for _, d := range daemons {
					d.stop()
				}
				return f.startDaemons(len(daemons))
			},
			serving: []string{"v1", "v2"}, events: 1,
		},
		"all daemons restarted, one version left": {
			interrupt: func(f *versionedFleet, daemons []*runningDaemon) []*runningDaemon {
				for _, d := range daemons {
					d.stop()
				}
				for _, id := range []string{"a-1", "a-2"} {
					f.store.Remove("servers", id)
				}
				return f.startDaemons(len(daemons))
			},
			serving: []string{"v2"}, events: 30, pause: 300 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionedFleet(t)
			f.startEngines(map[string]string{"a-1": "v1", "a-2": "v1", "b-1": "v2", "b-2": "v2"})
			daemons := f.startDaemons(3)
			streams := newStreams(48)
			receiveAll(streams, daemons, "first", test.events)
			time.Sleep(test.pause)
			daemons = test.interrupt(f, daemons)
			receiveAll(streams, daemons, "second", streamEvents)
			f.checkVersions(streams, test.serving...)
		})
	}
}

// TestStreamsGoOnAtTheirVersionInOneAnswer has engines of both versions crash in the middle
// of streams.
func TestStreamsGoOnAtTheirVersionInOneAnswer(t *testing.T) {
	f := newVersionedFleet(t)
	f.startEngines(map[string]string{"a-1": "v1", "a-2": "v1", "a-3": "v1", "b-1": "v2", "b-2": "v2", "b-3": "v2"})
	daemons := f.startDaemons(3)
	streams := newStreams(24)
	time.AfterFunc(600*time.Millisecond, func() {
		f.crashEngine("a-1")
		f.crashEngine("b-1")
	})
	receiveAll(streams, daemons, "only", streamEvents)
	f.checkVersions(streams, "v1", "v2")
}

// TestStreamsGoOnAtTheirVersionAfterRoutesChange has a configuration change the lane, the
// route or the timeout of streams before they break off. They went on at the version that
// their route had by then (ORDER).
func TestStreamsGoOnAtTheirVersionAfterRoutesChange(t *testing.T) {
	with := func(changes map[string]any) map[string]any {
		route := askRoute()
		maps.Copy(route, changes)
		return route
	}
	other := map[string]any{"name": "other", "prefix": "/other/", "targetLatencyMs": 5000}
	for name, test := range map[string]struct {
		before, after []map[string]any
	}{
		"a more patient route is added":      {[]map[string]any{askRoute()}, []map[string]any{askRoute(), with(other)}},
		"a more patient route is removed":    {[]map[string]any{askRoute(), with(other)}, []map[string]any{askRoute()}},
		"the route allows only short pauses": {[]map[string]any{askRoute(), with(other)}, []map[string]any{with(map[string]any{"gapTargetMs": 100}), with(other)}},
		"a longer prefix with another target is added": {
			[]map[string]any{askRoute(), with(other)},
			[]map[string]any{askRoute(), with(other), with(map[string]any{"name": "ask-7", "prefix": "/ask/7/", "targetLatencyMs": 5000})},
		},
		"the timeout is shorter": {[]map[string]any{askRoute()}, []map[string]any{with(map[string]any{"timeoutMs": 16000}), with(other)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionedFleet(t)
			f.writeConfig(3, test.before...)
			f.startEngines(map[string]string{"a-1": "v1", "a-2": "v1", "b-1": "v2", "b-2": "v2"})
			daemons := f.startDaemons(3)
			streams := newStreams(48)
			receiveAll(streams, daemons[:1], "first", 30)
			f.writeConfig(4, test.after...)
			time.Sleep(2 * time.Second) // all daemons use it
			daemons[0].stop()
			receiveAll(streams, daemons[1:], "second", streamEvents)
			f.checkVersions(streams, "v1", "v2")
		})
	}
}

// TestStreamsGoOnAfterVMIsGone has a VM that is gone for good, stopped or killed, before the
// servers of one version are replaced. Its row made the versions of streams ambiguous, and most
// that were taken up again were refused (LOST).
func TestStreamsGoOnAfterVMIsGone(t *testing.T) {
	for name, leave := range map[string]func(f *versionedFleet, d *runningDaemon){
		"stopped": func(f *versionedFleet, d *runningDaemon) {
			d.stop()
			f.Assert(<-d.exited, qt.IsNil)
		},
		"killed": func(f *versionedFleet, d *runningDaemon) {
			// Its row stays as it was.
			rows := &platform.Table{Store: platform.NewStore(f.store.Address(), time.Second, platform.NewStoreTransport())}
			key := "stream-origins/" + d.settings.Name
			last, err := rows.Get(f.Context(), &table.GetPayload{Keys: []string{key}})
			f.Assert(err, qt.IsNil)
			f.Assert(last, qt.HasLen, 1)
			d.stop()
			f.Assert(<-d.exited, qt.IsNil)
			_, err = rows.Commit(f.Context(), &table.CommitPayload{Writes: []*table.Write{{Key: key, Value: last[0].Value}}})
			f.Assert(err, qt.IsNil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionedFleet(t)
			f.startEngines(map[string]string{"a-1": "v1", "a-2": "v1", "b-1": "v2", "b-2": "v2"})
			daemons := f.startDaemons(4)
			time.Sleep(time.Second) // all rows are written
			leave(f, daemons[3])
			f.startEngine("c-1", "v3")
			f.startEngine("c-2", "v3")
			f.store.Remove("servers", "a-1")
			f.store.Remove("servers", "a-2")
			time.Sleep(4 * time.Second) // the others have changed their plans
			streams := newStreams(48)
			receiveAll(streams, daemons[:1], "first", 30)
			daemons[0].stop()
			receiveAll(streams, daemons[1:3], "second", streamEvents)
			f.checkVersions(streams, "v2", "v3")
		})
	}
}

// TestStreamsTakenUpAtVMThatStoodStill stops a VM while servers of another version join and streams
// begin there through others, which are then killed. Their callers take the streams up at the VM
// just before it runs again. An answer of the store from before the servers joined, which waited
// for the VM meanwhile, had its list of servers count as up to date (ORDER).
func TestStreamsTakenUpAtVMThatStoodStill(t *testing.T) {
	t.Parallel()
	// settled is the time after which a single version is believed to have begun all streams.
	const settled, joins, begins, killed = 31 * time.Second, 1300 * time.Millisecond, 3 * time.Second, 5 * time.Second
	f := newVersionedFleet(t)
	for _, id := range []string{"a-1", "a-2", "a-3"} {
		f.startEngine(id, "v1")
	}
	processes := []*runningDaemon{f.startProcess("vm-0"), f.startProcess("vm-1"), f.startProcess("vm-2")}
	for _, r := range processes {
		f.eventually("it serves", func() bool {
			probe := &callerStream{versions: make(map[string]bool)}
			probe.receive(r, "0-probe", 1)
			return probe.status == http.StatusOK
		})
	}
	time.Sleep(settled)
	stopped := time.Now()
	processes[0].signal(syscall.SIGSTOP)
	time.Sleep(time.Until(stopped.Add(joins))) // the last answer from before waits
	for _, id := range []string{"b-1", "b-2", "b-3"} {
		f.startEngine(id, "v2")
	}
	time.Sleep(time.Until(stopped.Add(begins)))
	streams := newStreams(48)
	receiveAll(streams, processes[1:], "first", 30)
	time.Sleep(time.Until(stopped.Add(killed)))
	processes[1].signal(syscall.SIGKILL)
	processes[2].signal(syscall.SIGKILL)
	time.AfterFunc(100*time.Millisecond, func() { processes[0].signal(syscall.SIGCONT) })
	receiveAll(streams, processes[:1], "second", streamEvents)
	f.checkVersions(streams, "v1", "v2")
}

// newStreams returns streams that have not begun.
func newStreams(n int) []*callerStream {
	streams := make([]*callerStream, n)
	for i := range streams {
		streams[i] = &callerStream{versions: make(map[string]bool)}
	}
	return streams
}
