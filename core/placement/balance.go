package placement

import "time"

// slowPace is the pace from which a server counts as slow in Balance.
const slowPace = 1.5

// Balance is how even the load of a lane is, as seen from one daemon.
type Balance struct {
	// Servers is the number of servers of the lane.
	Servers int
	// BusiestRatio is the number of requests of this daemon at its busiest server, divided by
	// their mean over the servers, or 0 if there are none.
	BusiestRatio float64
	// Crowded is the number of servers at which this daemon exceeds its part of the slots.
	Crowded int
	// Slow is the number of servers known to take slowPace times as long as the mean.
	Slow int
}

// Balance returns the balance of a lane.
func (p *Pool) Balance(lane Lane, now time.Time) Balance {
	b := Balance{Servers: len(p.lanes[lane])}
	sum, most := 0, 0
	for _, s := range p.lanes[lane] {
		sum += s.Running
		most = max(most, s.Running)
		if float64(s.Running) > p.room(s) {
			b.Crowded++
		}
		if p.Pace(s, now) >= slowPace {
			b.Slow++
		}
	}
	if sum > 0 {
		b.BusiestRatio = float64(most*b.Servers) / float64(sum)
	}
	return b
}
