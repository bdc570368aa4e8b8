package measure_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"acaciapath.example/core/config"
)

// seed makes every run the same.
const seed = 20260101

// Sizes of the deployments' parts that scenarios have in common.
const (
	daemonsPerDomain = 3
	accountCount     = 10
	// largeAccounts are the first of the client accounts, which ask for more.
	largeAccounts = 2
	// runTime is the time during which requests arrive.
	runTime = 180 * time.Second
	burstAt = 60 * time.Second
	burstTo = 120 * time.Second
	// publishEvery is how often engines publish their load.
	publishEvery = 250 * time.Millisecond
)

// load is the demand of one service class.
type load struct {
	class *config.ServiceClass
	// share is the part of the capacity in tokens that the class asks for.
	share float64
	// burst is the share between burstAt and burstTo.
	burst float64
	// tokens is the median length of an answer, spread is that of its logarithm.
	tokens float64
	spread float64
	prompt int
}

// scenario is one deployment under one kind of trouble.
type scenario struct {
	name           string
	domains        int
	perDomain      int
	cheapPerDomain int
	loads          []load
	lag            time.Duration
	// overload says that demand exceeds the capacity for the whole of a class,
	// and urgentOverload that the urgent class alone does.
	overload, urgentOverload bool
	// trouble arranges what goes wrong.
	trouble func(s *sim)
}

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
		InterTokenTarget: 200 * time.Millisecond, MaxWait: 4 * time.Hour, QueueLimit: 100_000, CheapServers: true,
	}
)

// loads returns the demand of the three classes, in shares of the capacity.
func loads(urgentShare, urgentBurst, middleBurst, patientBurst float64) []load {
	return []load{
		{class: urgent, share: urgentShare, burst: urgentBurst, tokens: 90, spread: 0.7, prompt: 300},
		{class: middle, share: 0.2, burst: middleBurst, tokens: 220, spread: 0.6, prompt: 500},
		{class: patient, share: 0.2, burst: patientBurst, tokens: 600, spread: 0.5, prompt: 900},
	}
}

func sockClub(name string, l []load, trouble func(*sim)) scenario {
	return scenario{
		name: "sock club, " + name, domains: 3, perDomain: 7, cheapPerDomain: 2,
		loads: l, lag: time.Second, trouble: trouble,
	}
}

func skylights(name string, l []load, trouble func(*sim)) scenario {
	return scenario{
		name: "skylights, " + name, domains: 3, perDomain: 3, cheapPerDomain: 1,
		loads: l, lag: time.Second, trouble: trouble,
	}
}

func scenarios() []scenario {
	steady := loads(0.3, 0.3, 0.2, 0.2)
	late := sockClub("load reports 5 s late", steady, nil)
	late.lag = 5 * time.Second
	middleBurst := sockClub("middle burst of 2", loads(0.3, 0.3, 2, 0.2), nil)
	middleBurst.overload = true
	urgentBurst := sockClub("urgent burst of 2", loads(0.3, 2, 0.2, 0.2), nil)
	urgentBurst.overload, urgentBurst.urgentOverload = true, true
	return []scenario{
		sockClub("steady", steady, nil),
		sockClub("patient burst of 4", loads(0.3, 0.3, 0.2, 4), nil),
		middleBurst,
		urgentBurst,
		late,
		sockClub("one straggler", steady, func(s *sim) { s.engines[3].slow = 5 }),
		sockClub("a crash", steady, crashAt(4)),
		sockClub("cheap ones of a failure domain evicted", loads(0.3, 0.3, 0.2, 4), evict(0)),
		sockClub("a failure domain lost", steady, loseDomain(1)),
		skylights("steady", steady, nil),
		skylights("patient burst of 4", loads(0.3, 0.3, 0.2, 4), nil),
		skylights("a crash", steady, crashAt(1)),
	}
}

func crashAt(i int) func(*sim) {
	return func(s *sim) {
		s.at(burstAt, func() {
			s.engines[i].crash(s)
			s.router.changed(s)
		})
	}
}

// evict takes the cheap engines of a failure domain away on 5 s notice.
func evict(domain int) func(*sim) {
	const notice = 5 * time.Second
	return func(s *sim) {
		each := func(do func(*fakeEngine)) {
			for _, e := range s.engines {
				if e.domain == domain && e.kind == config.KindCheap {
					do(e)
				}
			}
			s.router.changed(s)
		}
		s.at(burstAt+20*time.Second, func() { each(func(e *fakeEngine) { e.leaving = true }) })
		s.at(burstAt+20*time.Second+notice, func() { each(func(e *fakeEngine) { e.crash(s) }) })
	}
}

func loseDomain(domain int) func(*sim) {
	return func(s *sim) {
		s.at(burstAt, func() {
			for _, e := range s.engines {
				if e.domain == domain {
					e.crash(s)
				}
			}
			s.router.changed(s)
		})
	}
}

// capacity returns the tokens a second that an engine gives at full batch.
func capacity() float64 {
	step := stepBase + enginePlaces*stepPerRequest
	return enginePlaces / step.Seconds()
}

// arrivals returns the seeded requests of a scenario, in the order of arrival.
func arrivals(sc scenario) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	accounts := make([]*config.ClientAccount, accountCount)
	for i := range accounts {
		accounts[i] = &config.ClientAccount{Name: fmt.Sprintf("account-%d", i)}
	}
	total := capacity() * float64(sc.domains*sc.perDomain)
	var all []*request
	for _, l := range sc.loads {
		mean := l.tokens * math.Exp(l.spread*l.spread/2)
		for t := time.Duration(0); t < runTime; {
			share := l.share
			if t >= burstAt && t < burstTo {
				share = l.burst
			}
			rate := total * share / mean
			t += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			all = append(all, &request{
				class:   l.class,
				account: accounts[pickAccount(random)],
				domain:  random.IntN(sc.domains),
				daemon:  random.IntN(daemonsPerDomain),
				arrived: t,
				prompt:  1 + random.IntN(2*l.prompt),
				length:  1 + int(l.tokens*math.Exp(l.spread*random.NormFloat64())),
				prefix:  random.Uint64N(200),
			})
		}
	}
	return all
}

// pickAccount favours the first client accounts, which are large.
func pickAccount(random *rand.Rand) int {
	if random.Float64() < 0.6 {
		return random.IntN(largeAccounts)
	}
	return random.IntN(accountCount)
}

// play runs a scenario with a router.
func play(sc scenario, rt router) *sim {
	s := newSim(sc, rt)
	s.requests = arrivals(sc)
	for i, r := range s.requests {
		r.id = i
		s.at(r.arrived, func() { rt.arrive(s, r) })
	}
	for t := time.Duration(0); t < 2*runTime; t += publishEvery {
		s.at(t, func() { s.publish(sc.lag) })
	}
	if sc.trouble != nil {
		sc.trouble(s)
	}
	s.run()
	return s
}
