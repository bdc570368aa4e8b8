package fleet

import (
	"fmt"
	"time"
)

// Figures of the sheet's pattern-chat: 57 events with pauses of at most 150 ms, 15,000 ms.
const (
	ChatEvents  = 57
	ChatPause   = 140 * time.Millisecond
	ChatTimeout = 15 * time.Second
	// ChatService is the service of the streams.
	ChatService = "asistente"
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
	// Quito, Guayaquil, Cuenca1 and Cuenca2 are the machines.
	Quito, Guayaquil, Cuenca1, Cuenca2 *Daemon
}

// NewDeployment starts the platform. StartDaemons starts the machines.
func NewDeployment(run *Run) *Deployment {
	d := &Deployment{Store: NewStore(run), Cloud: NewCloud(run)}
	d.Store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "chat", "host": "shop.example", "prefix": "/chat/", "type": "streaming", "sessionAffinity": true, "streamResume": true,
			"timeoutMs": ChatTimeout.Milliseconds(), "targetLatencyMs": 500, "gapTargetMs": 150, "priority": 0, "service": ChatService, "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": ChatService, "healthPath": "/healthz", "runtime": map[string]any{"slots": 64, "kvCapacity": 639748, "stride": 3}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "apiKeys": []string{"key-a"}}},
	})
	return d
}

// NewChatEngine starts a replica of the service.
func (d *Deployment) NewChatEngine(run *Run, id, zone, version string) *Engine {
	return NewEngine(run, d.Store, id, ChatService, zone, version, ChatEvents, ChatPause)
}

// StartDaemons starts the machines, and waits until traffic may start.
func (d *Deployment) StartDaemons(run *Run) {
	began := time.Now()
	d.Quito = NewDaemon(run, "edge-quito-a-1", "quito-a", d.Store, d.Cloud)
	d.Guayaquil = NewDaemon(run, "edge-guayaquil-a-1", "guayaquil-a", d.Store, d.Cloud)
	d.Cuenca1 = NewDaemon(run, "edge-cuenca-a-1", "cuenca-a", d.Store, d.Cloud)
	d.Cuenca2 = NewDaemon(run, "edge-cuenca-a-2", "cuenca-a", d.Store, d.Cloud)
	for _, daemon := range []*Daemon{d.Quito, d.Guayaquil, d.Cuenca1, d.Cuenca2} {
		run.Await(readyLimit, daemon.Name+" ready", daemon.IsReady)
	}
	time.Sleep(time.Until(began.Add(startDelay)))
	run.Logf("traffic starts")
}

// CutCuenca cuts both machines of the zone cuenca-a off from the platform.
func (d *Deployment) CutCuenca(run *Run) {
	run.Logf("zone cuenca-a is cut off from the platform")
	for _, daemon := range []*Daemon{d.Cuenca1, d.Cuenca2} {
		daemon.StoreLink.Cut()
		daemon.CloudLink.Cut()
	}
}

// HealCuenca ends the cut.
func (d *Deployment) HealCuenca(run *Run) {
	run.Logf("zone cuenca-a reaches the platform")
	for _, daemon := range []*Daemon{d.Cuenca1, d.Cuenca2} {
		daemon.StoreLink.Heal()
		daemon.CloudLink.Heal()
	}
}

// retryPause is how long a client waits after a refusal without Retry-After.
const retryPause = 500 * time.Millisecond

// Chat receives a stream: the first attempt goes to one machine, and those that take it up
// again to others in turn, until the stream is complete or the client no longer waits.
func (d *Deployment) Chat(run *Run, i int, first *Daemon, later ...*Daemon) *Stream {
	s := &Stream{
		Name: fmt.Sprintf("chat-%d", i), Host: "shop.example", Path: fmt.Sprintf("/chat/%d", i), Key: "key-a", Deadline: time.Now().Add(ChatTimeout),
	}
	s.Receive(run, first)
	for n := 0; !s.Complete && time.Until(s.Deadline) > time.Second; n++ {
		if s.Receive(run, later[n%len(later)]) == 503 {
			time.Sleep(max(s.RetryAfter, retryPause))
		}
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
