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

// Prices of an engine for an hour.
const (
	standardHour = 2.0
	cheapHour    = 0.8
)

// outcome is what is reported of one run.
type outcome struct {
	// met is the share of requests that met their targets, by class.
	met map[string]float64
	// goodput is the number of tokens of answers that met their targets.
	goodput int
	// wasted is the share of tokens that reached nobody or were processed again.
	wasted float64
	// worst is the least attainment of a client account over that of its class.
	worst float64
	// spending is what the engines cost for a million tokens of goodput.
	spending float64
	// cheap is the share of tokens that cheap engines generated.
	cheap float64
	// refused and lost count requests; lostPatient those of the patient class.
	refused, lost, lostPatient int
}

func evaluate(s *sim) outcome {
	o := outcome{met: make(map[string]float64), worst: 1}
	all, met := make(map[string]int), make(map[string]int)
	accountAll, accountMet := make(map[[2]string]int), make(map[[2]string]int)
	generated, prompt, wasted, cheap := 0, 0, 0, 0
	for _, r := range s.requests {
		who := [2]string{r.class.Name, r.account.Name}
		all[r.class.Name]++
		accountAll[who]++
		if r.met() {
			met[r.class.Name]++
			accountMet[who]++
			o.goodput += r.length
		}
		generated += r.generated
		prompt += r.processed
		wasted += r.wasted + max(0, r.processed-r.prompt)
		cheap += r.cheap
		o.count(r)
	}
	for class, n := range all {
		o.met[class] = float64(met[class]) / float64(n)
	}
	for who, n := range accountAll {
		if n >= minRequests && o.met[who[0]] > 0 {
			o.worst = min(o.worst, float64(accountMet[who])/float64(n)/o.met[who[0]])
		}
	}
	o.wasted = float64(wasted) / float64(generated+prompt)
	o.cheap = float64(cheap) / float64(generated)
	o.spending = spending(s) / float64(o.goodput) * 1e6
	return o
}

// minRequests is the number of requests from which a client account's
// attainment is judged.
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

func spending(s *sim) float64 {
	end := time.Duration(0)
	for _, r := range s.requests {
		end = max(end, r.last)
	}
	sum := 0.0
	for _, e := range s.engines {
		price := standardHour
		if e.kind == config.KindCheap {
			price = cheapHour
		}
		sum += price * end.Hours()
	}
	return sum
}

// Names of contenders that tests refer to.
const (
	shared = "dispatch shared"
	bound  = "clairvoyant"
)

// contender is one router that is compared.
type contender struct {
	name string
	make func(sc scenario) router
}

func contenders() []contender {
	return []contender{
		{"round robin", func(scenario) router { return &roundRobin{} }},
		{"least load", func(scenario) router { return &leastLoad{sent: make(map[*fakeEngine]int)} }},
		{"dispatch alone", func(sc scenario) router { return newDispatched(sc, true) }},
		{shared, func(sc scenario) router { return newDispatched(sc, false) }},
		{bound, func(scenario) router { return &clairvoyant{} }},
	}
}

// run is the outcome of one contender in one scenario.
type run struct {
	scenario  scenario
	contender contender
	outcome   outcome
}

// runAll plays all scenarios with all contenders, in their order.
func runAll() []run {
	var runs []run
	for _, sc := range scenarios() {
		for _, c := range contenders() {
			runs = append(runs, run{scenario: sc, contender: c})
		}
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, parallelRuns)
	for i := range runs {
		slots <- struct{}{}
		wait.Go(func() {
			r := &runs[i]
			r.outcome = evaluate(play(r.scenario, r.contender.make(r.scenario)))
			<-slots
		})
	}
	wait.Wait()
	return runs
}

// parallelRuns is the number of runs at once.
const parallelRuns = 4

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
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%d\t%d\t\n", r.contender.name,
			o.met[urgent.Name], o.met[middle.Name], o.met[patient.Name], o.goodput,
			o.wasted, o.worst, o.spending, o.cheap, o.refused, o.lost)
	}
	_ = w.Flush()
	return b.String()
}

// Bounds of the targets.
const (
	minUrgent  = 0.95
	minWorst   = 0.9
	minGoodput = 0.9
	maxWasted  = 0.02
)

// TestTargets holds package dispatch, shared by the entry daemons of a failure
// domain, to the users' targets in every scenario in which they can be met:
// urgent attainment wherever the urgent class alone fits the capacity, and the
// worst client account wherever demand fits it.
func TestTargets(t *testing.T) {
	c := qt.New(t)
	outcomes := make(map[string]map[string]outcome)
	for _, r := range results() {
		if outcomes[r.scenario.name] == nil {
			outcomes[r.scenario.name] = make(map[string]outcome)
		}
		outcomes[r.scenario.name][r.contender.name] = r.outcome
	}
	for _, sc := range scenarios() {
		c.Run(sc.name, func(c *qt.C) {
			o := outcomes[sc.name][shared]
			if !sc.urgentOverload {
				c.Check(o.met[urgent.Name] >= minUrgent, qt.IsTrue, qt.Commentf("urgent %.3f", o.met[urgent.Name]))
			}
			if !sc.overload {
				c.Check(o.worst >= minWorst, qt.IsTrue, qt.Commentf("worst client account %.2f", o.worst))
			}
			best := outcomes[sc.name][bound].goodput
			c.Check(float64(o.goodput) >= minGoodput*float64(best), qt.IsTrue, qt.Commentf("goodput %d of %d", o.goodput, best))
			c.Check(o.wasted <= maxWasted, qt.IsTrue, qt.Commentf("wasted %.3f", o.wasted))
			c.Check(o.lost, qt.Equals, 0)
			c.Check(o.lostPatient, qt.Equals, 0)
		})
	}
}

// TestWorstAccountUnderOverload holds package dispatch to the target of the
// worst client account also where demand exceeds the capacity.
func TestWorstAccountUnderOverload(t *testing.T) {
	c := qt.New(t)
	for _, r := range results() {
		if r.contender.name == shared && r.scenario.overload {
			c.Check(r.outcome.worst >= minWorst, qt.IsTrue, qt.Commentf("%s: %.2f", r.scenario.name, r.outcome.worst))
		}
	}
}

// results plays everything once for all tests.
var results = sync.OnceValue(runAll)

// TestTable compares the table with the golden file and with the page that
// quotes it.
func TestTable(t *testing.T) {
	c := qt.New(t)
	text := table(results())
	goldie.New(t).Assert(t, "table", []byte(text))
	page, err := os.ReadFile("../../docs/MEASUREMENTS.md")
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(page), text), qt.IsTrue, qt.Commentf("docs/MEASUREMENTS.md is out of date"))
}
