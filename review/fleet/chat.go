package fleet

import (
	"fmt"
	"time"
)

// ChatService is the service of the streams.
const ChatService = "asistente"

// Sheet has the figures of a kind of request.
type Sheet struct {
	// Aim, Gap and Timeout are the targets of the first event and of a pause, and how long
	// clients wait.
	Aim, Gap, Timeout time.Duration
	// Events is the number of events of an answer, and Pause the time before each.
	Events int
	Pause  time.Duration
}

// Sheets of calcetin-ruta.
var (
	PatternChat    = Sheet{Aim: 500 * time.Millisecond, Gap: 150 * time.Millisecond, Timeout: 15 * time.Second, Events: 57, Pause: 140 * time.Millisecond}
	CurationLetter = Sheet{Aim: 2 * time.Second, Gap: 600 * time.Millisecond, Timeout: 12 * time.Second, Events: 40, Pause: 240 * time.Millisecond}
)

// startDelay is the time from the start of the machines to that of the traffic.
const startDelay = 10 * time.Second

// readyLimit bounds the time until a daemon is ready.
const readyLimit = 15 * time.Second

// mostMixed is the number of streams with events of two versions that ORDER allows.
const mostMixed = 2

// Deployment is a platform with replicas of one service, whose streams may be resumed, and
// one or two machines in each zone.
type Deployment struct {
	Store *Store
	Cloud *Cloud
	// Sheet has the figures of the streams.
	Sheet Sheet
	// Quito, Second, Cuenca1 and Cuenca2 are the machines. Second is in a zone of its own or
	// in that of Quito.
	Quito, Second, Cuenca1, Cuenca2 *Daemon

	version int
	routes  []any
}

// NewDeployment starts the platform, with a desired state that has one route for streams of a
// sheet. StartDaemons starts the machines.
func NewDeployment(run *Run, sheet Sheet) *Deployment {
	d := &Deployment{Store: NewStore(run), Cloud: NewCloud(run), Sheet: sheet}
	d.AddRoute(run, "chat", sheet)
	return d
}

// versionStep is the step between two versions of the desired state.
const versionStep = 3

// AddRoute writes a desired state with one more route to the service.
func (d *Deployment) AddRoute(run *Run, name string, sheet Sheet) {
	d.version += versionStep
	d.routes = append(d.routes, map[string]any{
		"name": name, "host": "shop.example", "prefix": "/" + name + "/", "type": "streaming", "sessionAffinity": true, "streamResume": true,
		"timeoutMs": sheet.Timeout.Milliseconds(), "targetLatencyMs": sheet.Aim.Milliseconds(), "gapTargetMs": sheet.Gap.Milliseconds(),
		"priority": 0, "service": ChatService, "maxAttempts": 2,
	})
	d.Store.Write("op", "config", map[string]any{
		"version": d.version, "routes": d.routes,
		"services": []any{map[string]any{"name": ChatService, "healthPath": "/healthz", "runtime": map[string]any{"slots": 64, "kvCapacity": 639748, "stride": 3}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "apiKeys": []string{"key-a"}}},
	})
	run.Logf("desired state %d acknowledged, with route %s", d.version, name)
}

// NewChatEngine starts a replica of the service.
func (d *Deployment) NewChatEngine(run *Run, id, zone, version string) *Engine {
	return NewEngine(run, d.Store, id, ChatService, zone, version, d.Sheet.Events, d.Sheet.Pause)
}

// StartDaemons starts the machines, the second one in a given zone, and waits until traffic may
// start.
func (d *Deployment) StartDaemons(run *Run, second string) {
	began := time.Now()
	d.Quito = NewDaemon(run, "edge-quito-a-1", "quito-a", d.Store, d.Cloud)
	d.Second = NewDaemon(run, "edge-"+second+"-2", second, d.Store, d.Cloud)
	d.Cuenca1 = NewDaemon(run, "edge-cuenca-a-1", "cuenca-a", d.Store, d.Cloud)
	d.Cuenca2 = NewDaemon(run, "edge-cuenca-a-2", "cuenca-a", d.Store, d.Cloud)
	for _, daemon := range []*Daemon{d.Quito, d.Second, d.Cuenca1, d.Cuenca2} {
		run.Await(readyLimit, daemon.Name+" ready", daemon.IsReady)
	}
	time.Sleep(time.Until(began.Add(startDelay)))
	run.Logf("traffic starts")
}

// StartMore starts one more machine in each of the zones quito-a and guayaquil-a. It is called
// before StartDaemons.
func (d *Deployment) StartMore(run *Run) {
	NewDaemon(run, "edge-quito-a-3", "quito-a", d.Store, d.Cloud)
	NewDaemon(run, "edge-guayaquil-a-3", "guayaquil-a", d.Store, d.Cloud)
}

// CutCuenca cuts both machines of the zone cuenca-a off from the platform.
func (d *Deployment) CutCuenca(run *Run) {
	run.Logf("zone cuenca-a is cut off from the platform")
	d.Cuenca1.Cut()
	d.Cuenca2.Cut()
}

// HealCuenca ends the cut.
func (d *Deployment) HealCuenca(run *Run) {
	run.Logf("zone cuenca-a reaches the platform")
	d.Cuenca1.Heal()
	d.Cuenca2.Heal()
}

// NewStream returns a stream that a client is about to ask for.
func (d *Deployment) NewStream(name string) *Stream {
	return &Stream{Name: name, Host: "shop.example", Path: "/chat/" + name, Key: "key-a", Deadline: time.Now().Add(d.Sheet.Timeout)}
}

// Chat receives a stream: the first attempt goes to one machine, and if the stream breaks off,
// the client's one retry (the sheet) to another.
func (d *Deployment) Chat(run *Run, i int, first, retry *Daemon) *Stream {
	s := d.NewStream(fmt.Sprintf("chat-%d", i))
	if s.Receive(run, first); !s.Complete {
		s.Receive(run, retry)
	}
	return s
}

// CheckVersions reports whether ORDER is broken: more than two streams hold events from
// replicas of two software versions of one service.
func CheckVersions(run *Run, list []*Stream) bool {
	mixed, complete, again := 0, 0, 0
	for _, s := range list {
		run.Logf("stream %s events=%d versions=%v complete=%t gaps=%d", s.Name, s.Events, s.Versions, s.Complete, s.Gaps)
		if len(s.Versions) > 1 {
			mixed++
		}
		if s.Complete {
			complete++
		}
		if s.Events > 0 && s.attempts > 1 {
			again++
		}
	}
	run.Logf("streams=%d taken-up-again=%d complete=%d with-two-versions=%d allowed=%d", len(list), again, complete, mixed, mostMixed)
	if again == 0 {
		run.Impossible("no stream was taken up again")
	}
	return mixed > mostMixed
}

// leastTaken is the number of streams that are taken up again from which LOST judges.
const leastTaken = 12

// CheckTakenUp reports whether LOST is broken: of 12 or more streams that clients take up again
// at machines in touch, the share that goes on is under half of the share of new streams that
// begin.
func CheckTakenUp(run *Run, again, begun []*Stream) bool {
	taken, onward, fresh := 0, 0, 0
	for _, s := range again {
		run.Logf("stream %s events=%d versions=%v complete=%t went-on=%t", s.Name, s.Events, s.Versions, s.Complete, s.Onward)
		if s.Events > 0 && s.attempts > 1 {
			taken++
			if s.Onward {
				onward++
			}
		}
	}
	for _, s := range begun {
		run.Logf("new stream %s events=%d versions=%v complete=%t", s.Name, s.Events, s.Versions, s.Complete)
		if s.Events > 0 {
			fresh++
		}
	}
	run.Logf("taken-up-again=%d of which went-on=%d; new=%d of which begun=%d", taken, onward, len(begun), fresh)
	if taken < leastTaken || fresh == 0 {
		run.Impossible("too few streams were taken up again, or none began")
	}
	return 2*onward*len(begun) < fresh*taken
}
