package order

import "time"

// Limits of the samples that a Pressure keeps.
const (
	// pressureSpan is how long a sample counts: long enough for some requests of
	// each kind at one daemon, short beside the time that a replica boots.
	pressureSpan = 2 * time.Second
	// pressureSamples is the most samples that are kept.
	pressureSamples = 256
	// pressureCap bounds the ratio of one request, so that a single one that
	// hangs does not count as an overload.
	pressureCap = 2.0
)

// Pressure measures how much of their latency objective requests use up until
// their first event, from the requests of one daemon. It is not safe for
// concurrent use.
type Pressure struct {
	samples []sample
	next    int
	waiting map[uint64]waiting
	last    uint64
}

type sample struct {
	at    time.Time
	ratio float64
}

type waiting struct {
	since  time.Time
	target time.Duration
}

// NewPressure returns a pressure without samples.
func NewPressure() *Pressure { return &Pressure{waiting: make(map[uint64]waiting)} }

// Begin notes a request with a latency objective and returns its number for End.
// Requests without an objective are not measured and have number 0.
func (p *Pressure) Begin(target time.Duration, now time.Time) uint64 {
	if target <= 0 {
		return 0
	}
	p.last++
	p.waiting[p.last] = waiting{since: now, target: target}
	return p.last
}

// End notes the first event of a request, or its end without one. A second call
// does nothing.
func (p *Pressure) End(number uint64, now time.Time) {
	w, ok := p.waiting[number]
	if !ok {
		return
	}
	delete(p.waiting, number)
	s := sample{at: now, ratio: w.ratio(now)}
	if len(p.samples) < pressureSamples {
		p.samples = append(p.samples, s)
		return
	}
	p.samples[p.next] = s
	p.next = (p.next + 1) % pressureSamples
}

func (w waiting) ratio(now time.Time) float64 {
	return min(float64(now.Sub(w.since))/float64(w.target), pressureCap)
}

// Mean returns the mean share of the objective that requests used up lately, with
// what those without a first event have used up so far, and the number of
// requests that it was taken over.
func (p *Pressure) Mean(now time.Time) (mean float64, n int) {
	sum := 0.0
	for _, s := range p.samples {
		if now.Sub(s.at) <= pressureSpan {
			sum += s.ratio
			n++
		}
	}
	for _, w := range p.waiting {
		sum += w.ratio(now)
		n++
	}
	if n == 0 {
		return 0, 0
	}
	return sum / float64(n), n
}

// Thresholds of the mean pressure.
const (
	// pressureHigh is where requests are about to miss their objectives. At half
	// of the capacity of the engines the mean is about 0.25.
	pressureHigh = 0.5
	// pressureLow is where replicas are given back.
	pressureLow = 0.3
	// pressureFew is the number of requests below which a mean says nothing.
	pressureFew = 6
	// surplusHold is how long a surplus is kept after the last high pressure.
	surplusHold = 6 * time.Second
	// surplusStep is the share of the base by which a surplus grows.
	surplusStep = 0.5
)

// Surplus is the number of replicas that are wanted beyond the base, as a share
// of it. The zero value wants none.
type Surplus struct {
	// Share is the surplus. Share ≥ 0.
	Share float64
	// HighAt is when the pressure was last high.
	HighAt time.Time
	// RaisedAt is when the share was last raised.
	RaisedAt time.Time
}

// Next returns the surplus for the pressure at now. It grows by steps, each
// after the last has had time to boot, and goes at once when the pressure has
// been low for a while.
func (s Surplus) Next(mean float64, n int, boot time.Duration, now time.Time) Surplus {
	if n >= pressureFew && mean >= pressureHigh {
		s.HighAt = now
		if s.RaisedAt.IsZero() || now.Sub(s.RaisedAt) >= boot {
			s.Share += surplusStep
			s.RaisedAt = now
		}
		return s
	}
	if s.Share > 0 && mean < pressureLow && now.Sub(s.HighAt) >= surplusHold {
		return Surplus{}
	}
	return s
}
