package measure_test

import (
	"fmt"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"acaciapath.example/core/config"
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
	// wasted is the share of tokens that reached nobody.
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
	generated, wasted, cheap := 0, 0, 0
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
		wasted += r.wasted
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
	o.wasted = float64(wasted) / float64(generated)
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
		{"dispatch shared", func(sc scenario) router { return newDispatched(sc, false) }},
		{"clairvoyant", func(scenario) router { return &clairvoyant{} }},
	}
}

func TestTable(t *testing.T) {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 1, ' ', tabwriter.AlignRight|tabwriter.Debug)
	for _, sc := range scenarios() {
		fmt.Fprintf(w, "%s\turgent\tmiddle\tpatient\tgoodput\twasted\tworst\tspending\tcheap\trefused\tlost\t\n", sc.name)
		for _, c := range contenders() {
			began := time.Now()
			o := evaluate(play(sc, c.make(sc)))
			fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%s\n", c.name,
				o.met["urgent"], o.met["middle"], o.met["patient"], o.goodput,
				o.wasted, o.worst, o.spending, o.cheap, o.refused, o.lost, time.Since(began).Round(time.Millisecond))
		}
	}
	_ = w.Flush()
	t.Log("\n" + b.String())
}
