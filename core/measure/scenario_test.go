package measure_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"acaciapath.example/core/config"
)

// seed is the seed of all random sources, so that every run gives the same
// result.
const seed = 20260101

// Sizes and times that all scenarios have in common.
const (
	daemonsPerDomain = 3
	accountCount     = 10
	// largeAccounts is the number of client accounts that send more requests
	// than the others. They are the first ones.
	largeAccounts = 2
	// runTime is the time during which requests arrive.
	runTime    = 180 * time.Second
	burstStart = 60 * time.Second
	burstEnd   = 120 * time.Second
	// publishInterval is the time between two publications of the loads of the
	// engines.
	publishInterval = 250 * time.Millisecond
)

// classDemand is the demand of one service class.
type classDemand struct {
	class *config.ServiceClass
	// share is the demand in tokens, as a share of the capacity.
	share float64
	// burst is the share between burstStart and burstEnd.
	burst float64
	// medianTokens is the median length of an answer, and logStdDev the
	// standard deviation of its logarithm.
	medianTokens     float64
	logStdDev        float64
	meanPromptTokens int
}

// scenario is a deployment with its demand and an optional fault.
type scenario struct {
	name           string
	domains        int
	perDomain      int
	cheapPerDomain int
	demands        []classDemand
	// reportLag is the time after which routers see the load of an engine.
	reportLag time.Duration
	// overload states that demand exceeds the capacity for a whole class, and
	// urgentOverload that the demand of the urgent class alone does.
	overload, urgentOverload bool
	// injectFault schedules a fault.
	injectFault func(s *sim)
}

// engineName returns the name of engine i of a failure domain.
func engineName(domain, i int) string { return fmt.Sprintf("d%d-e%02d", domain, i) }

var (
	urgent = &config.ServiceClass{
		Name: "urgent", Tier: 1, FirstTokenTarget: 1100 * time.Millisecond,
		InterTokenTarget: 46 * time.Millisecond, MaxWait: 10 * time.Second, QueueLimit: 1000,
	}
	middle = &config.ServiceClass{
		Name: "middle", Tier: 2, FirstTokenTarget: 8 * time.Second,
		InterTokenTarget: 60 * time.Millisecond, MaxWait: 60 * time.Second, QueueLimit: 2000,
	}
	patient = &config.ServiceClass{
		Name: "patient", Tier: 3, FirstTokenTarget: 30 * time.Minute,
		InterTokenTarget: 200 * time.Millisecond, MaxWait: 4 * time.Hour, QueueLimit: 100_000, AllowCheapServers: true,
	}
)

// demands returns the demand of the three classes, in shares of the capacity.
func demands(urgentShare, urgentBurst, middleBurst, patientBurst float64) []classDemand {
	return []classDemand{
		{class: urgent, share: urgentShare, burst: urgentBurst, medianTokens: 90, logStdDev: 0.7, meanPromptTokens: 300},
		{class: middle, share: 0.2, burst: middleBurst, medianTokens: 220, logStdDev: 0.6, meanPromptTokens: 500},
		{class: patient, share: 0.2, burst: patientBurst, medianTokens: 600, logStdDev: 0.5, meanPromptTokens: 900},
	}
}

// sockClub returns a scenario with three failure domains of seven engines each,
// of which two are cheap.
func sockClub(name string, d []classDemand, injectFault func(*sim)) scenario {
	return scenario{
		name: "sock club, " + name, domains: 3, perDomain: 7, cheapPerDomain: 2,
		demands: d, reportLag: time.Second, injectFault: injectFault,
	}
}

// skylights returns a scenario with three failure domains of three engines each,
// of which one is cheap.
func skylights(name string, d []classDemand, injectFault func(*sim)) scenario {
	return scenario{
		name: "skylights, " + name, domains: 3, perDomain: 3, cheapPerDomain: 1,
		demands: d, reportLag: time.Second, injectFault: injectFault,
	}
}

func scenarios() []scenario {
	steady := demands(0.3, 0.3, 0.2, 0.2)
	lateReports := sockClub("load reports 5 s late", steady, nil)
	lateReports.reportLag = 5 * time.Second
	middleBurst := sockClub("middle burst of 2", demands(0.3, 0.3, 2, 0.2), nil)
	middleBurst.overload = true
	urgentBurst := sockClub("urgent burst of 2", demands(0.3, 2, 0.2, 0.2), nil)
	urgentBurst.overload, urgentBurst.urgentOverload = true, true
	return []scenario{
		sockClub("steady", steady, nil),
		sockClub("patient burst of 4", demands(0.3, 0.3, 0.2, 4), nil),
		middleBurst,
		urgentBurst,
		lateReports,
		sockClub("one straggler", steady, func(s *sim) { s.engines[3].slowFactor = 5 }),
		sockClub("a crash", steady, crashAt(4)),
		sockClub("cheap ones of a failure domain evicted", demands(0.3, 0.3, 0.2, 4), evictCheapEngines(0)),
		sockClub("a failure domain lost", steady, loseDomain(1)),
		skylights("steady", steady, nil),
		skylights("patient burst of 4", demands(0.3, 0.3, 0.2, 4), nil),
		skylights("a crash", steady, crashAt(1)),
	}
}

// crashAt crashes engine i at burstStart.
func crashAt(i int) func(*sim) {
	return func(s *sim) {
		s.at(burstStart, func() {
			s.engines[i].crash(s)
			s.router.enginesChanged(s)
		})
	}
}

// evictCheapEngines removes the cheap engines of a failure domain with 5 s
// notice.
func evictCheapEngines(domain int) func(*sim) {
	const notice = 5 * time.Second
	return func(s *sim) {
		forEachCheap := func(action func(*fakeEngine)) {
			for _, e := range s.engines {
				if e.domain == domain && e.kind == config.KindCheap {
					action(e)
				}
			}
			s.router.enginesChanged(s)
		}
		s.at(burstStart+20*time.Second, func() { forEachCheap(func(e *fakeEngine) { e.draining = true }) })
		s.at(burstStart+20*time.Second+notice, func() { forEachCheap(func(e *fakeEngine) { e.crash(s) }) })
	}
}

// loseDomain crashes all engines of a failure domain at burstStart.
func loseDomain(domain int) func(*sim) {
	return func(s *sim) {
		s.at(burstStart, func() {
			for _, e := range s.engines {
				if e.domain == domain {
					e.crash(s)
				}
			}
			s.router.enginesChanged(s)
		})
	}
}

// engineCapacity returns the tokens per second that an engine generates with a
// full batch.
func engineCapacity() float64 {
	step := stepBaseTime + engineSlots*stepTimePerRequest
	return engineSlots / step.Seconds()
}

// newRequests returns the seeded requests of a scenario, by class and in order
// of arrival within a class.
func newRequests(sc scenario) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	accounts := make([]*config.ClientAccount, accountCount)
	for i := range accounts {
		accounts[i] = &config.ClientAccount{Name: fmt.Sprintf("account-%d", i)}
	}
	total := engineCapacity() * float64(sc.domains*sc.perDomain)
	var all []*request
	for _, demand := range sc.demands {
		mean := demand.medianTokens * math.Exp(demand.logStdDev*demand.logStdDev/2)
		for t := time.Duration(0); t < runTime; {
			share := demand.share
			if t >= burstStart && t < burstEnd {
				share = demand.burst
			}
			rate := total * share / mean
			t += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			all = append(all, &request{
				class:        demand.class,
				account:      accounts[pickAccount(random)],
				domain:       random.IntN(sc.domains),
				daemon:       random.IntN(daemonsPerDomain),
				arrived:      t,
				promptTokens: 1 + random.IntN(2*demand.meanPromptTokens),
				answerTokens: 1 + int(demand.medianTokens*math.Exp(demand.logStdDev*random.NormFloat64())),
				prefix:       random.Uint64N(200),
			})
		}
	}
	return all
}

// pickAccount picks a client account at random. The large ones are more likely.
func pickAccount(random *rand.Rand) int {
	if random.Float64() < 0.6 {
		return random.IntN(largeAccounts)
	}
	return random.IntN(accountCount)
}

// simulate runs a scenario with a router.
func simulate(sc scenario, rt router) *sim {
	s := newSim(sc, rt)
	s.requests = newRequests(sc)
	for i, r := range s.requests {
		r.id = i
		s.at(r.arrived, func() { rt.route(s, r) })
	}
	for t := time.Duration(0); t < 2*runTime; t += publishInterval {
		s.at(t, func() { s.publishLoads(sc.reportLag) })
	}
	if sc.injectFault != nil {
		sc.injectFault(s)
	}
	s.run()
	return s
}
