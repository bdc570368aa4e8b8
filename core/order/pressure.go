package order

import "time"

// Limits of the samples that a Pressure keeps.
const (
	// sampleLifetime is how long a sample counts. It is long enough for one daemon
	// to see some requests of each kind, and short compared with the boot time of
	// a replica.
	sampleLifetime = 2 * time.Second
	// maxSamples is the maximum number of samples that are kept.
	maxSamples = 256
	// maxRatio bounds the ratio of one request, so that a single request that
	// hangs does not look like an overload.
	maxRatio = 2.0
)

// Pressure measures which share of their latency objective the requests of one
// daemon use up before their first event. It is not safe for concurrent use.
type Pressure struct {
	samples []sample
	// next is the index of the oldest sample once there are maxSamples.
	next int
	// pending holds the requests without a first event, by number.
	pending    map[uint64]pendingRequest
	lastNumber uint64
}

// sample is the share of its latency objective that one request used up.
type sample struct {
	at    time.Time
	ratio float64
}

// pendingRequest is a request without a first event yet.
type pendingRequest struct {
	since  time.Time
	target time.Duration
}

// NewPressure returns a Pressure without samples.
func NewPressure() *Pressure { return &Pressure{pending: make(map[uint64]pendingRequest)} }

// Begin records the start of a request with a latency objective and returns the
// number to pass to End. A request without an objective (target ≤ 0) is not
// measured and gets number 0.
func (p *Pressure) Begin(target time.Duration, now time.Time) uint64 {
	if target <= 0 {
		return 0
	}
	p.lastNumber++
	p.pending[p.lastNumber] = pendingRequest{since: now, target: target}
	return p.lastNumber
}

// End records the first event of a request, or its end if it had none. Further
// calls with the same number, and calls with number 0, do nothing.
func (p *Pressure) End(number uint64, now time.Time) {
	r, ok := p.pending[number]
	if !ok {
		return
	}
	delete(p.pending, number)
	s := sample{at: now, ratio: r.ratio(now)}
	if len(p.samples) < maxSamples {
		p.samples = append(p.samples, s)
		return
	}
	p.samples[p.next] = s
	p.next = (p.next + 1) % maxSamples
}

// ratio returns the share of the latency objective used up at now, at most maxRatio.
func (r pendingRequest) ratio(now time.Time) float64 {
	return min(float64(now.Sub(r.since))/float64(r.target), maxRatio)
}

// Mean returns the mean share of the latency objective that recent requests used
// up, and the number of requests n in the mean. Requests still waiting for their
// first event count with the share that they have used up so far.
func (p *Pressure) Mean(now time.Time) (mean float64, n int) {
	sum := 0.0
	for _, s := range p.samples {
		if now.Sub(s.at) <= sampleLifetime {
			sum += s.ratio
			n++
		}
	}
	for _, r := range p.pending {
		sum += r.ratio(now)
		n++
	}
	if n == 0 {
		return 0, 0
	}
	return sum / float64(n), n
}

// Thresholds of the mean pressure.
const (
	// highPressure is the mean from which requests are about to miss their
	// objectives. With the engines at half capacity, the mean is about 0.25.
	highPressure = 0.5
	// lowPressure is the mean below which surplus replicas are released.
	lowPressure = 0.3
	// minRequests is the number of requests below which the mean is not
	// significant.
	minRequests = 6
	// surplusHoldTime is how long a surplus is kept after the last high pressure.
	surplusHoldTime = 6 * time.Second
	// surplusStep is the share of the baseline by which a surplus grows.
	surplusStep = 0.5
)

// Surplus is the number of replicas wanted beyond the baseline, as a share of the
// baseline. The zero value is no surplus.
type Surplus struct {
	// Share is the surplus. Share ≥ 0.
	Share float64
	// HighAt is when the pressure was last high.
	HighAt time.Time
	// RaisedAt is when Share was last raised.
	RaisedAt time.Time
}

// Next returns the surplus for the mean pressure of n requests at now. While the
// pressure is high, the surplus grows in steps, each at least the boot time of a
// replica after the previous one, so that the replicas of the last step can start
// first. It drops to zero once the pressure is low and surplusHoldTime has passed
// since it was high.
func (s Surplus) Next(mean float64, n int, boot time.Duration, now time.Time) Surplus {
	if n >= minRequests && mean >= highPressure {
		s.HighAt = now
		if s.RaisedAt.IsZero() || now.Sub(s.RaisedAt) >= boot {
			s.Share += surplusStep
			s.RaisedAt = now
		}
		return s
	}
	if s.Share > 0 && mean < lowPressure && now.Sub(s.HighAt) >= surplusHoldTime {
		return Surplus{}
	}
	return s
}
