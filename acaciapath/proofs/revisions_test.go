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

// Sizes of TestConfigurationNeverReverts: the numbers of operators, of changes per operator,
// and of injected faults.
const (
	operatorCount   = 4
	operatorChanges = 15
	revisionFaults  = 8
)

// revisionInput is the input of an operation: an operator applies a change, or the revision
// that a daemon has in force is observed.
type revisionInput struct {
	daemon string // empty for an apply
	base   uint64
}

// revisionOutput is the result of an operation.
type revisionOutput struct {
	revision       uint64
	applied        bool
	outcomeUnknown bool
}

// headModel models the newest revision. A change is applied only if its base is the newest
// revision, and a daemon never has a revision in force that does not exist yet.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		head, in, out := state.(uint64), input.(revisionInput), output.(revisionOutput)
		possible := true
		switch {
		case in.daemon != "":
			possible = out.revision <= head
		case out.outcomeUnknown && head == in.base:
			return []any{head, in.base + 1}
		case out.outcomeUnknown:
		case out.applied:
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

// inForceModel models the revision that a daemon has in force. It never decreases.
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

// revisionHistory records the operations.
type revisionHistory struct {
	env   *testEnv
	began time.Time

	mu           sync.Mutex
	applies      []porcupine.Operation
	observations []porcupine.Operation
}

// record records an operation that started at the given time and ends now.
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
		h.observations = append(h.observations, o)
	}
}

// applyChanges applies changes on behalf of an operator. The base of each is the revision that
// was the newest before a random pause, so that operators conflict.
func (h *revisionHistory) applyChanges(operator int, random *rand.Rand) {
	store := revision.NewStore(h.env.platform.Client(fmt.Sprint("operator-", operator)))
	for i := range operatorChanges {
		ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		head, err := store.Head(ctx)
		sleepRandom(random, 40)
		if err == nil {
			name := fmt.Sprintf("model-%d-%d", operator, i)
			extra := "\n[model " + name + "]\ncontext-tokens = 1000\nmax-completion-tokens = 100\n"
			h.apply(ctx, store, operator, revision.Change{Base: head, Files: h.env.files(extra), Author: name})
		}
		cancel()
		sleepRandom(random, 160)
	}
}

func (h *revisionHistory) apply(ctx context.Context, store *revision.Store, operator int, change revision.Change) {
	started := time.Now()
	applied, err := store.Apply(ctx, change, started)
	in := revisionInput{base: change.Base}
	var conflict *revision.ConflictError
	switch {
	case err == nil:
		h.record(started, operator, in, revisionOutput{revision: applied.Meta.Revision, applied: true})
	case errors.As(err, &conflict):
		h.record(started, operator, in, revisionOutput{revision: conflict.Newest.Revision})
	default: // the change may or may not have been applied
		h.record(started, operator, in, revisionOutput{outcomeUnknown: true})
	}
}

// observe records the revision that a daemon has in force, every 25 ms, until done is closed
// or the daemon has ended.
func (h *revisionHistory) observe(p *process, client int, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-p.done:
			return
		case <-time.After(25 * time.Millisecond):
		}
		started := time.Now()
		response, err := h.env.http.Get("http://" + p.Ops + "/metrics")
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
		h.env.c.Check(err, qt.IsNil)
		h.record(started, client, revisionInput{daemon: p.name}, revisionOutput{revision: inForce})
	}
}

func sleepRandom(random *rand.Rand, milliseconds int) {
	time.Sleep(time.Duration(random.IntN(milliseconds)) * time.Millisecond)
}

// TestConfigurationNeverReverts guards against conflicting changes that overwrite each other
// and against daemons that return to an older revision. Operators apply conflicting changes
// while the platform loses replies, is down, slow or partitioned from daemons, and VMs are
// replaced. At the end, the newest revision must be in force on all daemons.
func TestConfigurationNeverReverts(t *testing.T) {
	for _, seed := range revisionSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 0, engine.Options{}, "")
			h := &revisionHistory{env: env, began: time.Now()}
			h.record(h.began, operatorCount, revisionInput{}, revisionOutput{revision: 1, applied: true}) // applied by newTestEnv
			daemons, links := env.startNeighbours(3)
			done := make(chan struct{})
			var observing, applying sync.WaitGroup
			for i, p := range daemons {
				observing.Go(func() { h.observe(p, operatorCount+1+i, done) })
			}
			for i := range operatorCount {
				applying.Go(func() { h.applyChanges(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
			}
			random := rand.New(rand.NewPCG(seed, operatorCount))
			for i := range revisionFaults {
				injectRevisionFault(env, daemons, random)
				sleepRandom(random, 300)
				if i%3 == 2 { // replace a VM, whose neighbours alone may know the configuration
					old := random.IntN(3)
					daemons[old].kill()
					p := startProcess(env.c, entryLaunch(fmt.Sprint("vm-", 4+i), env.platformAddressFor(fmt.Sprint("vm-", 4+i))))
					links[old].SetTarget(p.Peer)
					daemons[old] = p
					observing.Go(func() { h.observe(p, 10+i, done) })
				}
			}
			env.platform.SetFaults(platform.All, fault.Faults{})
			applying.Wait()
			newest, err := revision.NewStore(env.platform.Client("observer")).Head(context.Background())
			env.c.Assert(err, qt.IsNil)
			for _, p := range daemons {
				env.eventually("the newest revision is in force", func() bool { return env.status(p).Revision == newest })
			}
			close(done)
			observing.Wait()
			h.checkResults(newest)
		})
	}
}

func injectRevisionFault(env *testEnv, daemons []*process, random *rand.Rand) {
	env.platform.SetFaults(platform.All, fault.Faults{})
	p := daemons[random.IntN(3)]
	switch random.IntN(6) {
	case 0:
		env.platform.SetFaults(platform.Table, fault.Faults{LoseReplies: 6})
	case 1:
		env.platform.SetFaults(platform.Objects, fault.Faults{Down: true})
	case 2:
		env.platform.SetFaults(platform.All, fault.Faults{Delay: fault.Duration(callTimeout / 4)})
	case 3:
		env.platform.SetFaults(platform.Table, fault.Faults{Partitions: []fault.Partition{{Caller: p.name}}})
	case 4:
		env.platform.SetFaults(platform.All, fault.Faults{Partitions: []fault.Partition{{Caller: p.name, Direction: fault.Replies}}})
	case 5:
		p.freeze()
		time.Sleep(callTimeout)
		p.resume()
	}
}

// checkResults checks the recorded operations against inForceModel and headModel.
func (h *revisionHistory) checkResults(newest uint64) {
	h.env.c.Logf("%d applies, %d observations, %d revisions", len(h.applies), len(h.observations), newest)
	h.env.c.Check(newest > operatorCount, qt.IsTrue)
	result := porcupine.CheckOperationsTimeout(inForceModel.ToModel(), h.observations, maxWait)
	h.env.c.Check(result, qt.Equals, porcupine.Ok)
	// Only the first observation of each revision is needed: later ones cannot violate
	// headModel if the first one does not.
	operations := h.applies
	seen := make(map[uint64]bool)
	for _, o := range h.observations {
		if r := o.Output.(revisionOutput).revision; !seen[r] {
			seen[r] = true
			operations = append(operations, o)
		}
	}
	result = porcupine.CheckOperationsTimeout(headModel.ToModel(), operations, maxWait)
	h.env.c.Check(result, qt.Equals, porcupine.Ok)
}

// TestReplacedVMLoadsConfigFromNeighbours guards against new daemons that serve without a
// configuration or with an old one. One daemon starts while the platform's table and object
// store are down, and gets the configuration from its neighbours. Another one starts while
// the whole platform is down, and must refuse requests until the platform is back.
func TestReplacedVMLoadsConfigFromNeighbours(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, engineOptions, "")
	neighbours, _ := env.startNeighbours(2)
	env.apply("\n[key roofers-1]\nwithdrawn = true\n")
	for _, p := range append(neighbours, env.startEntry("vm-3")) {
		env.eventually("the key is withdrawn", func() bool { return env.status(p).Revision == env.revision })
	}
	env.platform.SetFaults(platform.Table, fault.Faults{Down: true})
	env.platform.SetFaults(platform.Objects, fault.Faults{Down: true})
	first := env.startEntry("vm-4")
	env.c.Check(env.status(first).Revision, qt.Equals, env.revision)
	env.c.Check(env.chat(first, roofersKey, "slate", 1, false).status, qt.Equals, 401)
	_, complete := env.chat(first, shopKey, "socks", 1, false).text()
	env.c.Check(complete, qt.IsTrue)

	env.platform.SetFaults(platform.All, fault.Faults{Down: true})
	second := startProcess(env.c, entryLaunch("vm-5", env.platformAddressFor("vm-5")))
	refused := env.chat(second, shopKey, "socks", 1, false)
	env.c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	env.c.Check(refused.notRun(), qt.IsTrue)
	env.platform.SetFaults(platform.All, fault.Faults{})
	env.awaitReady(second)
	env.c.Check(env.status(second).Revision, qt.Equals, env.revision)
}

// TestInvalidRevisionIsRejected guards against an invalid configuration in force. The stored
// revision fails the check, as one from a command line of another version might. The revision
// before it must stay in force on running daemons and come into force on new ones, until a
// valid revision follows.
func TestInvalidRevisionIsRejected(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, engineOptions, "")
	daemons, _ := env.startNeighbours(2)
	validRevision := env.revision
	change := revision.Change{Base: validRevision, Files: []config.File{{Name: "a.ini", Text: "[nonsense]\nx = 1\n"}}, Author: "test"}
	applied, err := revision.NewStore(env.platform.Client("operator")).Apply(context.Background(), change, time.Now())
	env.c.Assert(err, qt.IsNil)
	env.revision = applied.Meta.Revision
	daemons = append(daemons, env.startEntry("vm-3"))
	for _, p := range daemons {
		env.eventually("the revision is rejected", func() bool { return env.status(p).RejectedRevision == env.revision })
		env.c.Check(env.status(p).Revision, qt.Equals, validRevision)
		_, complete := env.chat(p, shopKey, "socks", 1, false).text()
		env.c.Check(complete, qt.IsTrue)
	}
	env.apply("\n[key roofers-1]\nwithdrawn = true\n")
	for _, p := range daemons {
		env.eventually("the valid revision is in force", func() bool { return env.status(p).Revision == env.revision })
	}
}
