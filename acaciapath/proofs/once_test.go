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

// Sizes of TestCallRunsAtMostOnce: the numbers of concurrent callers, of calls per caller,
// of idempotency keys, and of injected faults.
const (
	onceCallers = 8
	onceCalls   = 60
	onceKeys    = 60
	onceFaults  = 12
)

// entryGroup is a group of entry daemons that can be replaced. It is safe for concurrent
// use, except for start.
type entryGroup struct {
	env     *testEnv
	mu      sync.Mutex // guards daemons
	daemons []*process
	started int // number of daemons started so far
}

func newEntryGroup(env *testEnv, size int) *entryGroup {
	g := &entryGroup{env: env}
	for range size {
		g.start(len(g.daemons))
	}
	return g
}

// start starts a daemon that replaces the i-th one, or is added if i is the number of daemons.
func (g *entryGroup) start(i int) {
	g.started++
	p := g.env.startEntry(fmt.Sprint("vm-", g.started))
	g.mu.Lock()
	defer g.mu.Unlock()
	if i == len(g.daemons) {
		g.daemons = append(g.daemons, p)
		return
	}
	g.daemons[i] = p
}

func (g *entryGroup) get(i int) *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.daemons[i%len(g.daemons)]
}

// TestCallRunsAtMostOnce guards against calls with the same idempotency key that run twice.
// Callers send calls with shared keys through three entry daemons that are killed and frozen,
// while the platform is down, frozen or loses requests and replies, and the plain service
// loses replies. The log of the plain service tells which calls ran.
func TestCallRunsAtMostOnce(t *testing.T) {
	for _, seed := range onceSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 0, engineOptions, "")
			g := newEntryGroup(env, 3)
			h := &callHistory{began: time.Now()}
			var wait sync.WaitGroup
			for caller := range onceCallers {
				random := rand.New(rand.NewPCG(seed, uint64(caller)))
				wait.Go(func() { h.call(g, caller, random) })
			}
			injectOnceFaults(g, rand.New(rand.NewPCG(seed, onceCallers)))
			wait.Wait()
			env.platform.SetFaults(platform.All, fault.Faults{})
			env.orders.SetFaults(fault.Faults{})
			h.checkResults(env)
		})
	}
}

// injectOnceFaults injects faults one after the other. A fault of the platform may last until
// later ones are injected.
func injectOnceFaults(g *entryGroup, random *rand.Rand) {
	for range onceFaults {
		switch random.IntN(6) {
		case 0:
			g.env.platform.SetFaults(platform.Table, fault.Faults{LoseReplies: 4, LoseRequests: random.IntN(3)})
		case 1:
			g.env.platform.SetFaults(platform.Table, fault.Faults{Down: true})
		case 2:
			g.env.platform.SetFaults(platform.Table, fault.Faults{Frozen: true})
		case 3:
			g.env.orders.SetFaults(fault.Faults{LoseReplies: 3})
		case 4:
			i := random.IntN(3)
			g.get(i).kill()
			g.env.platform.SetFaults(platform.Table, fault.Faults{})
			g.start(i)
		case 5:
			p := g.get(random.IntN(3))
			p.freeze()
			time.Sleep(callTimeout)
			p.resume()
		}
		time.Sleep(time.Duration(50+random.IntN(callTimeoutMillis)) * time.Millisecond)
		if random.IntN(2) == 0 {
			g.env.platform.SetFaults(platform.Table, fault.Faults{})
		}
	}
}

const callTimeoutMillis = int(callTimeout / time.Millisecond)

// outcome is what a caller can conclude from an answer.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeNotRun
	outcomeAnswered
)

// callOutput is the result of a call.
type callOutput struct {
	outcome outcome
	body    string
}

// callHistory records the calls and their answers.
type callHistory struct {
	began time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	answers    []answer
}

// call makes onceCalls calls with random keys through random daemons, and records them.
func (h *callHistory) call(g *entryGroup, caller int, random *rand.Rand) {
	for range onceCalls {
		key := fmt.Sprint("renewal-", random.IntN(onceKeys))
		p := g.get(random.IntN(3))
		started := time.Since(h.began)
		got := g.env.do(p, "/orders/1", shopKey, key, "Idempotency-Key", key)
		ended := time.Since(h.began)
		h.mu.Lock()
		h.answers = append(h.answers, got)
		h.operations = append(h.operations, porcupine.Operation{
			ClientId: caller, Input: key, Output: callOutputOf(got), Call: int64(started), Return: int64(ended),
		})
		h.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

func callOutputOf(a answer) callOutput {
	switch {
	case a.err == nil && a.status == 200:
		return callOutput{outcome: outcomeAnswered, body: a.body}
	case a.notRun():
		return callOutput{outcome: outcomeNotRun}
	}
	return callOutput{outcome: outcomeUnknown}
}

// answerUnseen is the state of a key whose call may have run, but whose answer no caller has
// seen yet.
const answerUnseen = "unseen"

// atMostOnceModel models each key as a register that is written once, by the first call that
// runs. All calls that are answered must get this answer.
var atMostOnceModel = porcupine.NondeterministicModel{
	Partition: partitionByInput,
	Init:      func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		current, out := state.(string), output.(callOutput)
		switch {
		case out.outcome == outcomeNotRun:
			return []any{current}
		case out.outcome == outcomeUnknown && current == "":
			return []any{"", answerUnseen}
		case out.outcome == outcomeUnknown, current == out.body:
			return []any{current}
		case current == "", current == answerUnseen:
			return []any{out.body}
		}
		return nil
	},
}

// partitionByInput splits a history by the inputs of the operations.
func partitionByInput(history []porcupine.Operation) [][]porcupine.Operation {
	byInput := make(map[any][]porcupine.Operation)
	for _, o := range history {
		byInput[o.Input] = append(byInput[o.Input], o)
	}
	return slices.Collect(maps.Values(byInput))
}

// checkResults checks the answers against the log of the plain service: no key ran more than
// once, no call that was refused as not run was received, and the answers agree with
// atMostOnceModel.
func (h *callHistory) checkResults(env *testEnv) {
	received := make(map[string]bool)
	for _, call := range env.orders.Log().Entries() {
		env.c.Check(call.Executions <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", call.Key, call.Executions))
		received[call.RequestID] = true
	}
	counts := make(map[string]int)
	for i, a := range h.answers {
		key := h.operations[i].Input.(string)
		switch {
		case a.notRun():
			counts["not-run"]++
			env.c.Check(received[a.refusal().RequestID], qt.IsFalse, qt.Commentf("ran after all: %s", a.body))
		case a.err == nil && a.status == 200:
			counts["answered"]++
			env.c.Check(env.orders.Executions(key), qt.Equals, 1)
		default:
			counts[string(codeOf(a))]++
		}
	}
	env.c.Logf("%d calls, %d executions, %v", len(h.answers), env.orders.TotalExecutions(), counts)
	env.c.Check(env.orders.TotalExecutions() > 0, qt.IsTrue)
	result := porcupine.CheckOperationsTimeout(atMostOnceModel.ToModel(), h.operations, maxWait)
	env.c.Check(result, qt.Equals, porcupine.Ok)
}

// codeOf returns the code of a refusal, or an empty string if the answer is not a refusal.
func codeOf(a answer) refusal.Code {
	if r := a.refusal(); r != nil {
		return r.Code
	}
	return ""
}
