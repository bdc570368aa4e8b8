package placement

import "time"

// Servers of one kind differ in speed by a factor of two and more. A daemon learns it from the
// pauses between the events of its own streams, without a message.

// paceMemory is the time in which what is known of the pace of a server loses its weight.
const paceMemory = 20 * time.Second

// maxPace bounds the pace of a server in both directions.
const maxPace = 3

// intervalWeight is the least weight of a stream in the mean interval of a lane.
const intervalWeight = 0.05

// ObserveInterval records the mean time between the events of a stream that a server ran to
// its end.
func (p *Pool) ObserveInterval(s *Server, lane Lane, interval time.Duration, now time.Time) {
	if interval <= 0 {
		return
	}
	if now.Sub(s.intervalAt) > paceMemory {
		s.InterTokenLatency = 0
	}
	s.ObserveInterTokenLatency(interval)
	s.intervalAt = now
	p.intervals[lane].add(interval)
}

// meanInterval is the mean of the intervals of recent streams.
type meanInterval struct {
	mean time.Duration
	// n is the number of intervals.
	n int
}

// add adds the interval of a stream. The first ones have equal weights.
func (m *meanInterval) add(interval time.Duration) {
	m.n++
	m.mean += time.Duration(max(intervalWeight, 1/float64(m.n)) * float64(interval-m.mean))
}

// slowness returns what a server takes longer than the mean of its lane, as a share of the mean.
// A server that is faster than the mean has 0: that is no reason to read a cached prefix again.
func (p *Pool) slowness(s *Server, now time.Time) float64 { return max(p.Pace(s, now)-1, 0) }

// Pace returns how much longer a server takes than the mean of its lane, as a factor. It is 1
// for a server that is not known.
func (p *Pool) Pace(s *Server, now time.Time) float64 {
	mean := p.intervals[s.Lane].mean
	if mean <= 0 || s.InterTokenLatency <= 0 {
		return 1
	}
	pace := float64(s.InterTokenLatency) / float64(mean)
	pace = min(max(pace, 1.0/maxPace), maxPace)
	return 1 + (pace-1)*max(1-now.Sub(s.intervalAt).Seconds()/paceMemory.Seconds(), 0)
}
