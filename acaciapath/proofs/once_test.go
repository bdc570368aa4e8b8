package proofs

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"acaciapath.example/core/refusal"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

// onceSeeds are the seeds of TestCallRunsAtMostOnce.
var onceSeeds = []uint64{1, 2, 3}

// Sizes of a run of TestCallRunsAtMostOnce.
const (
	onceCallers = 8
	onceCalls   = 60
	onceKeys    = 60
	onceFaults  = 12
)

// fleet is a changing set of entry daemons.
type fleet struct {
	w       *world
	mu      sync.Mutex
	daemons []*process
	started int
}

func newFleet(w *world, size int) *fleet {
	f := &fleet{w: w}
	for range size {
		f.start(len(f.daemons))
	}
	return f
}

// start starts a daemon in the place of an earlier one.
func (f *fleet) start(i int) {
	f.started++
	p := f.w.startEntry(fmt.Sprint("vm-", f.started))
	f.mu.Lock()
	defer f.mu.Unlock()
	if i == len(f.daemons) {
		f.daemons = append(f.daemons, p)
		return
	}
	f.daemons[i] = p
}

func (f *fleet) get(i int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i%len(f.daemons)]
}

// TestCallRunsAtMostOnce sends calls of the same idempotency keys through three
// daemons, which are killed and frozen, while the platform is down, frozen or
// loses requests and replies, and the service loses replies. The judge is the
// service's log.
func TestCallRunsAtMostOnce(t *testing.T) {
	for _, seed := range onceSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 0, engineOptions, "")
			f := newFleet(w, 3)
			h := &onceHistory{began: time.Now()}
			var wait sync.WaitGroup
			for caller := range onceCallers {
				random := rand.New(rand.NewPCG(seed, uint64(caller)))
				wait.Go(func() { h.call(f, caller, random) })
			}
			injectOnceFaults(f, rand.New(rand.NewPCG(seed, onceCallers)))
			wait.Wait()
			w.platform.SetFaults(platform.All, fault.Faults{})
			w.orders.SetFaults(fault.Faults{})
			h.judge(w)
		})
	}
}

// injectOnceFaults injects faults one after the other, some of which overlap.
func injectOnceFaults(f *fleet, random *rand.Rand) {
	for range onceFaults {
		switch random.IntN(6) {
		case 0:
			f.w.platform.SetFaults(platform.Table, fault.Faults{LoseReplies: 4, LoseRequests: random.IntN(3)})
		case 1:
			f.w.platform.SetFaults(platform.Table, fault.Faults{Down: true})
		case 2:
			f.w.platform.SetFaults(platform.Table, fault.Faults{Frozen: true})
		case 3:
			f.w.orders.SetFaults(fault.Faults{LoseReplies: 3})
		case 4:
			i := random.IntN(3)
			f.get(i).kill()
			f.w.platform.SetFaults(platform.Table, fault.Faults{})
			f.start(i)
		case 5:
			p := f.get(random.IntN(3))
			p.freeze()
			time.Sleep(callTimeout)
			p.thaw()
		}
		time.Sleep(time.Duration(50+random.IntN(callTimeoutMillis)) * time.Millisecond)
		if random.IntN(2) == 0 {
			f.w.platform.SetFaults(platform.Table, fault.Faults{})
		}
	}
}

const callTimeoutMillis = int(callTimeout / time.Millisecond)

// outcome is what a caller may conclude from an answer.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeNotRun
	outcomeAnswered
)

// onceOutput is the end of a call.
type onceOutput struct {
	outcome outcome
	body    string
}

// onceHistory records calls.
type onceHistory struct {
	began time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	answers    []answer
}

// call makes calls with random keys through random daemons.
func (h *onceHistory) call(f *fleet, caller int, random *rand.Rand) {
	for range onceCalls {
		key := fmt.Sprint("renewal-", random.IntN(onceKeys))
		p := f.get(random.IntN(3))
		started := time.Since(h.began)
		got := f.w.do(p, "/orders/1", shopKey, key, "Idempotency-Key", key)
		ended := time.Since(h.began)
		h.mu.Lock()
		h.answers = append(h.answers, got)
		h.operations = append(h.operations, porcupine.Operation{
			ClientId: caller, Input: key, Output: onceOutputOf(got), Call: int64(started), Return: int64(ended),
		})
		h.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

func onceOutputOf(a answer) onceOutput {
	switch {
	case a.err == nil && a.status == 200:
		return onceOutput{outcome: outcomeAnswered, body: a.body}
	case a.notRun():
		return onceOutput{outcome: outcomeNotRun}
	}
	return onceOutput{outcome: outcomeUnknown}
}

// unseen is the state of a key whose call may have run with an answer that
// nobody has seen yet.
const unseen = "unseen"

// onceModel is a register for each key that is written once, by the first call
// that runs.
var onceModel = porcupine.NondeterministicModel{
	Partition: partitionByInput,
	Init:      func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		held, out := state.(string), output.(onceOutput)
		switch {
		case out.outcome == outcomeNotRun:
			return []any{held}
		case out.outcome == outcomeUnknown && held == "":
			return []any{"", unseen}
		case out.outcome == outcomeUnknown, held == out.body:
			return []any{held}
		case held == "", held == unseen:
			return []any{out.body}
		}
		return nil
	},
}

// partitionByInput splits a history into those of each input.
func partitionByInput(history []porcupine.Operation) [][]porcupine.Operation {
	byInput := make(map[any][]porcupine.Operation)
	for _, o := range history {
		byInput[o.Input] = append(byInput[o.Input], o)
	}
	return slices.Collect(maps.Values(byInput))
}

// judge checks the calls against the log of the service.
func (h *onceHistory) judge(w *world) {
	received := make(map[string]bool)
	for _, call := range w.orders.Log().Entries() {
		w.c.Check(call.Executions <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", call.Key, call.Executions))
		received[call.RequestID] = true
	}
	counts := make(map[string]int)
	for i, a := range h.answers {
		key := h.operations[i].Input.(string)
		switch {
		case a.notRun():
			counts["not-run"]++
			w.c.Check(received[a.refusal().RequestID], qt.IsFalse, qt.Commentf("ran after all: %s", a.body))
		case a.err == nil && a.status == 200:
			counts["answered"]++
			w.c.Check(w.orders.Executions(key), qt.Equals, 1)
		default:
			counts[string(codeOf(a))]++
		}
	}
	w.c.Logf("%d calls, %d executions, %v", len(h.answers), w.orders.TotalExecutions(), counts)
	w.c.Check(w.orders.TotalExecutions() > 0, qt.IsTrue)
	result := porcupine.CheckOperationsTimeout(onceModel.ToModel(), h.operations, patience)
	w.c.Check(result, qt.Equals, porcupine.Ok)
}

// codeOf returns the code of a refusal; empty if the answer broke off.
func codeOf(a answer) refusal.Code {
	if r := a.refusal(); r != nil {
		return r.Code
	}
	return ""
}
