package proofs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/revision"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

// revisionSeeds are the seeds of TestConfigurationNeverReverts.
var revisionSeeds = []uint64{1, 2, 3}

// Sizes of a run of TestConfigurationNeverReverts.
const (
	operators      = 4
	operatorRounds = 15
	revisionFaults = 8
)

// revisionInput is an operation: an apply by an operator, or a look at the
// revision that a daemon has in force.
type revisionInput struct {
	daemon string // empty for an apply
	base   uint64
}

// revisionOutput is what came of it.
type revisionOutput struct {
	revision  uint64
	won       bool
	unsettled bool
}

// headModel is the newest revision, which is only written against the newest
// one. No daemon has one in force that does not exist.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		head, in, out := state.(uint64), input.(revisionInput), output.(revisionOutput)
		possible := true
		switch {
		case in.daemon != "":
			possible = out.revision <= head
		case out.unsettled && head == in.base:
			return []any{head, in.base + 1}
		case out.unsettled:
		case out.won:
			possible = head == in.base && out.revision == head+1
			head = out.revision
		default:
			possible = out.revision == head && head != in.base
		}
		if !possible {
			return nil
		}
		return []any{head}
	},
}

// inForceModel is the revision that a daemon has in force, which never goes
// back.
var inForceModel = porcupine.NondeterministicModel{
	Partition: partitionByInput,
	Init:      func() []any { return []any{uint64(0)} },
	Step: func(state, _, output any) []any {
		if out := output.(revisionOutput); out.revision >= state.(uint64) {
			return []any{out.revision}
		}
		return nil
	},
}

// revisionHistory records operations.
type revisionHistory struct {
	w     *world
	began time.Time

	mu      sync.Mutex
	applies []porcupine.Operation
	looks   []porcupine.Operation
}

// record records an operation that started at the given time.
func (h *revisionHistory) record(started time.Time, client int, in revisionInput, out revisionOutput) {
	o := porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: int64(started.Sub(h.began)), Return: int64(time.Since(h.began)),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if in.daemon == "" {
		h.applies = append(h.applies, o)
	} else {
		h.looks = append(h.looks, o)
	}
}

// operate applies changes against what was the newest revision before a pause.
func (h *revisionHistory) operate(operator int, random *rand.Rand) {
	store := revision.NewStore(h.w.platform.Client(fmt.Sprint("operator-", operator)))
	for i := range operatorRounds {
		ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		head, err := store.Head(ctx)
		pause(random, 40)
		if err == nil {
			name := fmt.Sprintf("model-%d-%d", operator, i)
			more := "\n[model " + name + "]\ncontext-tokens = 1000\nmax-completion-tokens = 100\n"
			h.apply(ctx, store, operator, revision.Change{Base: head, Files: h.w.files(more), Author: name})
		}
		cancel()
		pause(random, 160)
	}
}

func (h *revisionHistory) apply(ctx context.Context, store *revision.Store, operator int, change revision.Change) {
	started := time.Now()
	applied, err := store.Apply(ctx, change, started)
	in := revisionInput{base: change.Base}
	var race *revision.ConflictError
	switch {
	case err == nil:
		h.record(started, operator, in, revisionOutput{revision: applied.Meta.Revision, won: true})
	case errors.As(err, &race):
		h.record(started, operator, in, revisionOutput{revision: race.Newest.Revision})
	default: // may or may not have taken effect
		h.record(started, operator, in, revisionOutput{unsettled: true})
	}
}

// look looks at the revision that a daemon has in force until done is closed or
// the daemon is gone.
func (h *revisionHistory) look(p *process, client int, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-p.done:
			return
		case <-time.After(25 * time.Millisecond):
		}
		started := time.Now()
		response, err := h.w.http.Get("http://" + p.Ops + "/metrics")
		if err != nil {
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var inForce uint64
		_, after, found := strings.Cut(string(text), "\nacaciapath_entry_config_revision ")
		if err != nil || !found {
			continue
		}
		_, err = fmt.Sscan(after, &inForce)
		h.w.c.Check(err, qt.IsNil)
		h.record(started, client, revisionInput{daemon: p.name}, revisionOutput{revision: inForce})
	}
}

func pause(random *rand.Rand, milliseconds int) {
	time.Sleep(time.Duration(random.IntN(milliseconds)) * time.Millisecond)
}

// TestConfigurationNeverReverts lets operators race while the platform loses
// replies, is down, slow or cut off from daemons, and VMs are replaced. The
// newest revision is in force everywhere in the end.
func TestConfigurationNeverReverts(t *testing.T) {
	for _, seed := range revisionSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 0, engine.Options{}, "")
			h := &revisionHistory{w: w, began: time.Now()}
			h.record(h.began, operators, revisionInput{}, revisionOutput{revision: 1, won: true}) // by newWorld
			daemons, links := w.neighbours(3)
			done := make(chan struct{})
			var looking, operating sync.WaitGroup
			for i, p := range daemons {
				looking.Go(func() { h.look(p, operators+1+i, done) })
			}
			for i := range operators {
				operating.Go(func() { h.operate(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
			}
			random := rand.New(rand.NewPCG(seed, operators))
			for i := range revisionFaults {
				injectRevisionFault(w, daemons, random)
				pause(random, 300)
				if i%3 == 2 { // replace a VM, whose neighbours alone may know the configuration
					old := random.IntN(3)
					daemons[old].kill()
					p := startProcess(w.c, entry(fmt.Sprint("vm-", 4+i), w.port(fmt.Sprint("vm-", 4+i))))
					links[old].SetTarget(p.Peer)
					daemons[old] = p
					looking.Go(func() { h.look(p, 10+i, done) })
				}
			}
			w.platform.SetFaults(platform.All, fault.Faults{})
			operating.Wait()
			newest, err := revision.NewStore(w.platform.Client("judge")).Head(context.Background())
			w.c.Assert(err, qt.IsNil)
			for _, p := range daemons {
				w.eventually("the newest revision is in force", func() bool { return w.status(p).Revision == newest })
			}
			close(done)
			looking.Wait()
			h.judge(newest)
		})
	}
}

func injectRevisionFault(w *world, daemons []*process, random *rand.Rand) {
	w.platform.SetFaults(platform.All, fault.Faults{})
	p := daemons[random.IntN(3)]
	switch random.IntN(6) {
	case 0:
		w.platform.SetFaults(platform.Table, fault.Faults{LoseReplies: 6})
	case 1:
		w.platform.SetFaults(platform.Objects, fault.Faults{Down: true})
	case 2:
		w.platform.SetFaults(platform.All, fault.Faults{Delay: fault.Duration(callTimeout / 4)})
	case 3:
		w.platform.SetFaults(platform.Table, fault.Faults{Partitions: []fault.Partition{{Caller: p.name}}})
	case 4:
		w.platform.SetFaults(platform.All, fault.Faults{Partitions: []fault.Partition{{Caller: p.name, Direction: fault.Replies}}})
	case 5:
		p.freeze()
		time.Sleep(callTimeout)
		p.thaw()
	}
}

// judge checks the history.
func (h *revisionHistory) judge(newest uint64) {
	h.w.c.Logf("%d applies, %d looks, %d revisions", len(h.applies), len(h.looks), newest)
	h.w.c.Check(newest > operators, qt.IsTrue)
	result := porcupine.CheckOperationsTimeout(inForceModel.ToModel(), h.looks, patience)
	h.w.c.Check(result, qt.Equals, porcupine.Ok)
	// One look at each revision, the first, is what can be ahead of it.
	operations := h.applies
	seen := make(map[uint64]bool)
	for _, o := range h.looks {
		if r := o.Output.(revisionOutput).revision; !seen[r] {
			seen[r] = true
			operations = append(operations, o)
		}
	}
	result = porcupine.CheckOperationsTimeout(headModel.ToModel(), operations, patience)
	h.w.c.Check(result, qt.Equals, porcupine.Ok)
}

// TestReplacedVMFollowsItsNeighbours starts a daemon while the platform's table
// and object store are down, and one while the whole platform is down. The
// first gets the configuration in force from its neighbours; the second serves
// nothing, rather than something old, until the platform is back.
func TestReplacedVMFollowsItsNeighbours(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, engineOptions, "")
	w.neighbours(2)
	w.apply("\n[key roofers-1]\nwithdrawn = true\n")
	old := w.startEntry("vm-3")
	w.eventually("the key is withdrawn", func() bool { return w.status(old).Revision == w.revision })
	w.platform.SetFaults(platform.Table, fault.Faults{Down: true})
	w.platform.SetFaults(platform.Objects, fault.Faults{Down: true})
	first := w.startEntry("vm-4")
	w.c.Check(w.status(first).Revision, qt.Equals, w.revision)
	w.c.Check(w.chat(first, roofersKey, "slate", 1, false).status, qt.Equals, 401)
	_, whole := w.chat(first, shopKey, "socks", 1, false).text()
	w.c.Check(whole, qt.IsTrue)

	w.platform.SetFaults(platform.All, fault.Faults{Down: true})
	second := startProcess(w.c, entry("vm-5", w.port("vm-5")))
	refused := w.chat(second, shopKey, "socks", 1, false)
	w.c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	w.c.Check(refused.notRun(), qt.IsTrue)
	w.platform.SetFaults(platform.All, fault.Faults{})
	w.awaitReady(second)
	w.c.Check(w.status(second).Revision, qt.Equals, w.revision)
}

// TestBrokenRevisionIsNotInForce stores a revision that fails the check, as a
// command line of another version might. The earlier one stays in force at
// running daemons and comes into force at new ones, until a sound one follows.
func TestBrokenRevisionIsNotInForce(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, engineOptions, "")
	daemons, _ := w.neighbours(2)
	sound := w.revision
	change := revision.Change{Base: sound, Files: []config.File{{Name: "a.ini", Text: "[nonsense]\nx = 1\n"}}, Author: "test"}
	applied, err := revision.NewStore(w.platform.Client("operator")).Apply(context.Background(), change, time.Now())
	w.c.Assert(err, qt.IsNil)
	w.revision = applied.Meta.Revision
	daemons = append(daemons, w.startEntry("vm-3"))
	for _, p := range daemons {
		w.eventually("the revision is rejected", func() bool { return w.status(p).RejectedRevision == w.revision })
		w.c.Check(w.status(p).Revision, qt.Equals, sound)
		_, whole := w.chat(p, shopKey, "socks", 1, false).text()
		w.c.Check(whole, qt.IsTrue)
	}
	w.apply("\n[key roofers-1]\nwithdrawn = true\n")
	for _, p := range daemons {
		w.eventually("the sound revision is in force", func() bool { return w.status(p).Revision == w.revision })
	}
}
