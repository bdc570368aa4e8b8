package proofs

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/core/engine"
	standin "acaciapath.example/standin/engine"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
)

// engineOptions are the options of the engines. All engines give the same answer to the
// same prompt.
var engineOptions = standin.Options{StepTime: time.Millisecond, MaxAnswerTokens: 100_000}

// answerSeeds are the seeds of TestAnswersAreCompleteAndMatchPrompts.
var answerSeeds = []uint64{1, 2}

// Sizes of TestAnswersAreCompleteAndMatchPrompts: the numbers of concurrent callers, of
// calls per caller, and of injected faults.
const (
	answerCallers = 24
	answerCalls   = 25
	answerFaults  = 10
)

// chunk holds the fields that are read from a chunk of a stream or from an answer that is
// not streamed.
type chunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
}

// text returns the text of an answer and whether the answer is complete: a stream that
// ends with [DONE], or an answer with the finish reason stop.
func (a answer) text() (text string, complete bool) {
	if a.err != nil || a.status != http.StatusOK || a.refusal() != nil {
		return "", false
	}
	if !strings.Contains(a.body, "data: ") {
		var c chunk
		if json.Unmarshal([]byte(a.body), &c) != nil || len(c.Choices) != 1 {
			return "", false
		}
		return c.Choices[0].Message.Content, c.Choices[0].FinishReason == "stop"
	}
	for event := range strings.SplitSeq(strings.TrimSpace(a.body), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			return text, true
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) != nil {
			return text, false
		}
		for _, choice := range c.Choices {
			text += choice.Delta.Content
		}
	}
	return text, false
}

// reference returns the text of the answer that an engine gives to a direct request.
func (env *testEnv) reference(e *standin.Engine, body string) string {
	response, err := env.http.Post("http://"+e.Address()+engine.PathChat, "application/json", strings.NewReader(body))
	env.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var c chunk
	env.c.Assert(json.NewDecoder(response.Body).Decode(&c), qt.IsNil)
	return c.Choices[0].Message.Content
}

// exchange is a request with its answer.
type exchange struct {
	prompt string
	tokens int
	answer answer
}

// TestAnswersAreCompleteAndMatchPrompts guards against answers that are truncated or mixed
// up without an error, and against refusals that wrongly say that a request did not run.
// Callers send distinct prompts through three entry daemons that are killed and frozen, to
// engines that crash and whose links are cut, frozen and slow. Each complete answer must be
// the one that an engine gives to its prompt. No request that was refused as not run may be
// in the log of an engine.
func TestAnswersAreCompleteAndMatchPrompts(t *testing.T) {
	for _, seed := range answerSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 3, engineOptions, "")
			relays := env.relayEngines()
			g := newEntryGroup(env, 3)
			var mu sync.Mutex
			var all []exchange
			var wait sync.WaitGroup
			for caller := range answerCallers {
				random := rand.New(rand.NewPCG(seed, uint64(caller)))
				wait.Go(func() {
					for i := range answerCalls {
						a := exchange{prompt: fmt.Sprintf("letter %d of %d", i, caller), tokens: 1 + random.IntN(40)}
						a.answer = env.chat(g.get(random.IntN(3)), shopKey, a.prompt, a.tokens, random.IntN(2) == 0)
						mu.Lock()
						all = append(all, a)
						mu.Unlock()
						time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
					}
				})
			}
			injectAnswerFaults(g, relays, rand.New(rand.NewPCG(seed, answerCallers)))
			wait.Wait()
			env.checkAnswers(all)
		})
	}
}

// relayEngines puts a relay in front of each engine and applies the configuration with the
// relays' addresses.
func (env *testEnv) relayEngines() []*relay.Relay {
	var relays []*relay.Relay
	for _, e := range env.engines {
		r, err := relay.New("127.0.0.1:0")
		env.c.Assert(err, qt.IsNil)
		env.c.Cleanup(func() { _ = r.Close() })
		r.SetTarget(e.Address())
		env.serversConfig = strings.ReplaceAll(env.serversConfig, e.Address(), r.Address())
		relays = append(relays, r)
	}
	env.apply("")
	return relays
}

func injectAnswerFaults(g *entryGroup, relays []*relay.Relay, random *rand.Rand) {
	for range answerFaults {
		i := random.IntN(3)
		e, r := g.env.engines[i], relays[i]
		switch random.IntN(7) {
		case 0:
			e.SetFaults(standin.Faults{CrashAfterTokens: 20})
		case 1:
			r.SetFaults(relay.Faults{Frozen: true})
		case 2:
			r.SetFaults(relay.Faults{DropFromTarget: true})
		case 3:
			r.SetFaults(relay.Faults{DropToTarget: true, Delay: time.Millisecond})
		case 4:
			r.CloseConnections()
		case 5:
			g.get(i).kill()
			g.start(i)
		case 6:
			p := g.get(i)
			p.freeze()
			time.Sleep(100 * time.Millisecond)
			p.resume()
		}
		time.Sleep(time.Duration(50+random.IntN(150)) * time.Millisecond)
		e.SetFaults(standin.Faults{})
		r.SetFaults(relay.Faults{})
	}
}

// checkAnswers compares complete answers with those of a separate engine, and refusals with
// the logs of the engines. It also fails if no more than half of the answers are complete.
func (env *testEnv) checkAnswers(all []exchange) {
	referenceEngine := env.startEngine(standin.Options{StepTime: time.Microsecond, MaxAnswerTokens: 100_000})
	startedRuns := make(map[string]bool)
	for _, e := range env.engines {
		for _, run := range e.Runs().Entries() {
			if run.Outcome != standin.Refused {
				startedRuns[run.RequestID] = true
			}
		}
	}
	counts := make(map[string]int)
	for _, a := range all {
		text, complete := a.answer.text()
		switch {
		case complete:
			counts["complete"]++
			env.c.Check(text, qt.Equals, env.reference(referenceEngine, chatBody(a.prompt, a.tokens, false)))
		case a.answer.notRun():
			counts["not-run"]++
			env.c.Check(startedRuns[a.answer.refusal().RequestID], qt.IsFalse, qt.Commentf("ran after all: %s", a.answer.body))
		default:
			counts[string(codeOf(a.answer))]++
			env.c.Check(a.answer.err != nil || a.answer.refusal() != nil, qt.IsTrue, qt.Commentf("%d %q", a.answer.status, a.answer.body))
		}
	}
	env.c.Logf("%d requests: %v", len(all), counts)
	env.c.Check(counts["complete"] > len(all)/2, qt.IsTrue)
}
