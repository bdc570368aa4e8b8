package measure_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"acaciapath.example/core/config"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

// Prices of an engine per hour.
const (
	standardHourPrice = 2.0
	cheapHourPrice    = 0.8
)

// outcome is the result of one run.
type outcome struct {
	// met is the share of requests that met their targets, by class.
	met map[string]float64
	// goodput is the number of tokens of the answers that met their targets.
	goodput int
	// wasted is the share of tokens that were generated but not delivered, or
	// processed more than once.
	wasted float64
	// worst is the smallest ratio of the attainment of a client account, which is
	// the share of its requests that met their targets, to that of its class.
	worst float64
	// spending is the price of the engines per million tokens of goodput.
	spending float64
	// cheap is the share of tokens that cheap engines generated.
	cheap float64
	// refused is the number of refused requests, and lost that of others whose
	// answer is not complete. lostPatient is the number of requests of the
	// patient class without a complete answer, including refused ones.
	refused, lost, lostPatient int
}

// evaluate returns the outcome of a finished run.
func evaluate(s *sim) outcome {
	o := outcome{met: make(map[string]float64), worst: 1}
	all, met := make(map[string]int), make(map[string]int)
	accountAll, accountMet := make(map[[2]string]int), make(map[[2]string]int)
	generated, prompt, wasted, cheap := 0, 0, 0, 0
	for _, r := range s.requests {
		key := [2]string{r.class.Name, r.account.Name}
		all[r.class.Name]++
		accountAll[key]++
		if r.met() {
			met[r.class.Name]++
			accountMet[key]++
			o.goodput += r.answerTokens
		}
		generated += r.generated
		prompt += r.processedPromptTokens
		wasted += r.wastedTokens + max(0, r.processedPromptTokens-r.promptTokens)
		cheap += r.cheapTokens
		o.count(r)
	}
	for class, n := range all {
		o.met[class] = float64(met[class]) / float64(n)
	}
	for key, n := range accountAll {
		if n >= minRequests && o.met[key[0]] > 0 {
			o.worst = min(o.worst, float64(accountMet[key])/float64(n)/o.met[key[0]])
		}
	}
	o.wasted = float64(wasted) / float64(generated+prompt)
	o.cheap = float64(cheap) / float64(generated)
	o.spending = spending(s) / float64(o.goodput) * 1e6
	return o
}

// minRequests is the number of requests below which the attainment of a client
// account is not considered.
const minRequests = 20

func (o *outcome) count(r *request) {
	if r.refused {
		o.refused++
	}
	if !r.done && !r.refused {
		o.lost++
	}
	if !r.done && r.class == patient {
		o.lostPatient++
	}
}

// spending returns the price of all engines, including removed ones, from the
// start to the last token.
func spending(s *sim) float64 {
	end := time.Duration(0)
	for _, r := range s.requests {
		end = max(end, r.lastToken)
	}
	sum := 0.0
	for _, e := range s.engines {
		price := standardHourPrice
		if e.kind == config.KindCheap {
			price = cheapHourPrice
		}
		sum += price * end.Hours()
	}
	return sum
}

// Names of candidates that tests refer to.
const (
	shared     = "dispatch shared"
	upperBound = "clairvoyant"
)

// candidate is one of the routers under comparison.
type candidate struct {
	name      string
	newRouter func(sc scenario) router
}

func candidates() []candidate {
	return []candidate{
		{"round robin", func(scenario) router { return &roundRobin{} }},
		{"least load", func(scenario) router { return &leastLoad{sent: make(map[*fakeEngine]int)} }},
		{"dispatch alone", func(sc scenario) router { return newDispatchRouter(sc, true) }},
		{shared, func(sc scenario) router { return newDispatchRouter(sc, false) }},
		{upperBound, func(scenario) router { return &clairvoyant{} }},
	}
}

// run is one candidate in one scenario, with its outcome.
type run struct {
	scenario  scenario
	candidate candidate
	outcome   outcome
}

// runAll runs all scenarios with all candidates, and returns the runs in that
// order.
func runAll() []run {
	var runs []run
	for _, sc := range scenarios() {
		for _, c := range candidates() {
			runs = append(runs, run{scenario: sc, candidate: c})
		}
	}
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelRuns)
	for i := range runs {
		semaphore <- struct{}{}
		group.Go(func() {
			r := &runs[i]
			r.outcome = evaluate(simulate(r.scenario, r.candidate.newRouter(r.scenario)))
			<-semaphore
		})
	}
	group.Wait()
	return runs
}

// maxParallelRuns is the number of runs in parallel.
const maxParallelRuns = 4

func table(runs []run) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	last := ""
	for _, r := range runs {
		if r.scenario.name != last {
			last = r.scenario.name
			fmt.Fprintf(w, "%s\turgent\tmiddle\tpatient\tgoodput\twasted\tworst\tspending\tcheap\trefused\tlost\t\n", last)
		}
		o := r.outcome
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%d\t%d\t\n", r.candidate.name,
			o.met[urgent.Name], o.met[middle.Name], o.met[patient.Name], o.goodput,
			o.wasted, o.worst, o.spending, o.cheap, o.refused, o.lost)
	}
	_ = w.Flush()
	return b.String()
}

// The users' targets.
const (
	minUrgentAttainment  = 0.95
	minWorstAccountRatio = 0.9
	minGoodputRatio      = 0.9
	maxWastedShare       = 0.02
)

// TestTargets checks that package dispatch, shared by the entry daemons of a
// failure domain, meets the targets of the users in every scenario in which
// they can be met: urgent attainment wherever the urgent class alone fits the
// capacity, and the worst client account wherever demand fits it.
func TestTargets(t *testing.T) {
	c := qt.New(t)
	outcomes := make(map[string]map[string]outcome)
	for _, r := range results() {
		if outcomes[r.scenario.name] == nil {
			outcomes[r.scenario.name] = make(map[string]outcome)
		}
		outcomes[r.scenario.name][r.candidate.name] = r.outcome
	}
	for _, sc := range scenarios() {
		c.Run(sc.name, func(c *qt.C) {
			o := outcomes[sc.name][shared]
			if !sc.urgentOverload {
				c.Check(o.met[urgent.Name] >= minUrgentAttainment, qt.IsTrue, qt.Commentf("urgent %.3f", o.met[urgent.Name]))
			}
			if !sc.overload {
				c.Check(o.worst >= minWorstAccountRatio, qt.IsTrue, qt.Commentf("worst client account %.2f", o.worst))
			}
			best := outcomes[sc.name][upperBound].goodput
			c.Check(float64(o.goodput) >= minGoodputRatio*float64(best), qt.IsTrue, qt.Commentf("goodput %d of %d", o.goodput, best))
			c.Check(o.wasted <= maxWastedShare, qt.IsTrue, qt.Commentf("wasted %.3f", o.wasted))
			c.Check(o.lost, qt.Equals, 0)
			c.Check(o.lostPatient, qt.Equals, 0)
		})
	}
}

// TestWorstAccountUnderOverload checks that package dispatch meets the target
// for the worst client account also where demand exceeds the capacity.
func TestWorstAccountUnderOverload(t *testing.T) {
	c := qt.New(t)
	for _, r := range results() {
		if r.candidate.name == shared && r.scenario.overload {
			c.Check(r.outcome.worst >= minWorstAccountRatio, qt.IsTrue, qt.Commentf("%s: %.2f", r.scenario.name, r.outcome.worst))
		}
	}
}

// results runs everything once for all tests.
var results = sync.OnceValue(runAll)

// TestTable compares the table with the golden file, and with the page that
// contains it.
func TestTable(t *testing.T) {
	c := qt.New(t)
	text := table(results())
	goldie.New(t).Assert(t, "table", []byte(text))
	page, err := os.ReadFile("../../docs/MEASUREMENTS.md")
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(page), text), qt.IsTrue, qt.Commentf("docs/MEASUREMENTS.md is out of date"))
}
