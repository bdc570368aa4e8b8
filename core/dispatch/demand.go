package dispatch

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential moving average
	// of demand.
	demandTimeConstant = 20 * time.Second
	// demandStdDevs is how many standard deviations above the mean of a Poisson
	// distribution the reserved slots cover.
	demandStdDevs = 1.5
	// minDemand is the mean demand below which no slot is reserved.
	minDemand = 0.1
)

// demand is an exponential moving average of the number of requests of a
// service class that wait or run. The zero value means no demand.
//
// It determines how many of the last free slots are reserved for more urgent
// classes. This is trunk reservation, see Ross, "Multiservice Loss Models for
// Broadband Telecommunication Networks" (Springer 1995), chapter 4.
type demand struct {
	// mean is the average at the time updated.
	mean    float64
	updated time.Time
	// lastCount is the number of requests observed last.
	lastCount int
}

// observe records that n requests wait or run from now on.
func (d *demand) observe(n int, now time.Time) {
	d.mean = d.at(now)
	if now.After(d.updated) {
		d.updated = now
	}
	d.lastCount = n
}

// at returns the average at the given time.
func (d *demand) at(now time.Time) float64 {
	elapsed := max(0, now.Sub(d.updated))
	weight := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	return float64(d.lastCount) + weight*(d.mean-float64(d.lastCount))
}

// slots returns the number of slots that cover the expected demand of the
// class, or 0 if the average is below minDemand.
func (d *demand) slots(now time.Time) int {
	mean := d.at(now)
	if mean < minDemand {
		return 0
	}
	return int(math.Ceil(mean + demandStdDevs*math.Sqrt(mean)))
}
