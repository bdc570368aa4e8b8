package dispatch

import (
	"math"
	"time"
)

// Constants of the average demand.
const (
	// demandTime is the time over which demand is averaged.
	demandTime = 20 * time.Second
	// demandMargin is the number of standard deviations of a Poisson demand
	// for which places are kept.
	demandMargin = 1.5
	// minDemand is the average below which no place is kept.
	minDemand = 0.1
)

// demand is the average number of a class's requests that wait or run. The
// zero value stands for none. Keeping the last places for urgent work is trunk
// reservation, see Ross, "Multiservice Loss Models for Broadband
// Telecommunication Networks" (Springer 1995), chapter 4.
type demand struct {
	mean    float64
	updated time.Time
	last    int
}

// observe takes the number of requests from now on into the average.
func (d *demand) observe(n int, now time.Time) {
	d.mean = d.at(now)
	if now.After(d.updated) {
		d.updated = now
	}
	d.last = n
}

// at returns the average at a time.
func (d *demand) at(now time.Time) float64 {
	elapsed := max(0, now.Sub(d.updated))
	weight := math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	return float64(d.last) + weight*(d.mean-float64(d.last))
}

// places returns the number of places that meet the demand most of the time.
func (d *demand) places(now time.Time) int {
	mean := d.at(now)
	if mean < minDemand {
		return 0
	}
	return int(math.Ceil(mean + demandMargin*math.Sqrt(mean)))
}
