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

// engineOptions are those of fast engines that all give the same answers.
var engineOptions = standin.Options{StepTime: time.Millisecond, MaxAnswerTokens: 100_000}

// answerSeeds are the seeds of TestAnswersAreWholeAndOnesOwn.
var answerSeeds = []uint64{1, 2}

// Sizes of a run of TestAnswersAreWholeAndOnesOwn.
const (
	answerCallers = 24
	answerCalls   = 25
	answerFaults  = 10
)

// chunk is what a caller reads of a chunk of a stream, or of a whole answer.
type chunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
}

// text returns the text of an answer, and whether it says that it is whole.
func (a answer) text() (text string, whole bool) {
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

// reference returns the answer that an engine gives to whoever asks it itself.
func (w *world) reference(e *standin.Engine, body string) string {
	response, err := w.http.Post("http://"+e.Address()+engine.PathChat, "application/json", strings.NewReader(body))
	w.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var c chunk
	w.c.Assert(json.NewDecoder(response.Body).Decode(&c), qt.IsNil)
	return c.Choices[0].Message.Content
}

// asked is a request with its answer.
type asked struct {
	prompt string
	tokens int
	got    answer
}

// TestAnswersAreWholeAndOnesOwn sends distinct prompts through three daemons,
// which are killed and frozen, to engines that crash and freeze and whose links
// are cut, frozen and slow. Every answer that says that it is whole must be the
// one that an engine gives to that prompt, and no request that is said not to
// have run may be in the log of an engine.
func TestAnswersAreWholeAndOnesOwn(t *testing.T) {
	for _, seed := range answerSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3, engineOptions, "")
			relays := w.relayEngines()
			f := newFleet(w, 3)
			var mu sync.Mutex
			var all []asked
			var wait sync.WaitGroup
			for caller := range answerCallers {
				random := rand.New(rand.NewPCG(seed, uint64(caller)))
				wait.Go(func() {
					for i := range answerCalls {
						a := asked{prompt: fmt.Sprintf("letter %d of %d", i, caller), tokens: 1 + random.IntN(40)}
						a.got = w.chat(f.get(random.IntN(3)), shopKey, a.prompt, a.tokens, random.IntN(2) == 0)
						mu.Lock()
						all = append(all, a)
						mu.Unlock()
						time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
					}
				})
			}
			injectAnswerFaults(f, relays, rand.New(rand.NewPCG(seed, answerCallers)))
			wait.Wait()
			w.judgeAnswers(all)
		})
	}
}

// relayEngines puts a relay before each engine.
func (w *world) relayEngines() []*relay.Relay {
	var relays []*relay.Relay
	for _, e := range w.engines {
		r, err := relay.New("127.0.0.1:0")
		w.c.Assert(err, qt.IsNil)
		w.c.Cleanup(func() { _ = r.Close() })
		r.SetTarget(e.Address())
		w.servers = strings.ReplaceAll(w.servers, e.Address(), r.Address())
		relays = append(relays, r)
	}
	w.apply("")
	return relays
}

func injectAnswerFaults(f *fleet, relays []*relay.Relay, random *rand.Rand) {
	for range answerFaults {
		i := random.IntN(3)
		e, r := f.w.engines[i], relays[i]
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
			f.get(i).kill()
			f.start(i)
		case 6:
			p := f.get(i)
			p.freeze()
			time.Sleep(100 * time.Millisecond)
			p.thaw()
		}
		time.Sleep(time.Duration(50+random.IntN(150)) * time.Millisecond)
		e.SetFaults(standin.Faults{})
		r.SetFaults(relay.Faults{})
	}
}

// judgeAnswers checks answers against those of an engine of its own, and
// refusals against the logs of all engines.
func (w *world) judgeAnswers(all []asked) {
	judge := w.startEngine(standin.Options{StepTime: time.Microsecond, MaxAnswerTokens: 100_000})
	began := make(map[string]bool)
	for _, e := range w.engines {
		for _, run := range e.Runs().Entries() {
			if run.Outcome != standin.Refused {
				began[run.RequestID] = true
			}
		}
	}
	counts := make(map[string]int)
	for _, a := range all {
		text, whole := a.got.text()
		switch {
		case whole:
			counts["whole"]++
			w.c.Check(text, qt.Equals, w.reference(judge, chatBody(a.prompt, a.tokens, false)))
		case a.got.notRun():
			counts["not-run"]++
			w.c.Check(began[a.got.refusal().RequestID], qt.IsFalse, qt.Commentf("ran after all: %s", a.got.body))
		default:
			counts[string(codeOf(a.got))]++
			w.c.Check(a.got.err != nil || a.got.refusal() != nil, qt.IsTrue, qt.Commentf("%d %q", a.got.status, a.got.body))
		}
	}
	w.c.Logf("%d requests: %v", len(all), counts)
	w.c.Check(counts["whole"] > len(all)/2, qt.IsTrue)
}
