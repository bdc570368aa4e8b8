package queue_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/queue"

	qt "github.com/frankban/quicktest"
)

// simulateOverload simulates client accounts that each send perAccount requests
// per second, of which perSecond in total are served. From surgeAt on the first
// client account sends surge times as many. It returns the share of requests
// after surgeAt that were served on time, for each client account.
func simulateOverload(perAccount []int, perSecond, surge int, surgeAt, duration time.Duration) []float64 {
	const startWithin = time.Second
	q := queue.New[int]()
	requests, onTime := make([]int, len(perAccount)), make([]int, len(perAccount))
	for second := time.Duration(0); second < duration; second += time.Second {
		now := start.Add(second)
		for i, n := range perAccount {
			if i == 0 && second >= surgeAt {
				n *= surge
			}
			for range n {
				q.Push(&queue.Entry[int]{Value: i, Account: fmt.Sprint(i), Tier: 1, Arrived: now, StartDeadline: now.Add(startWithin)})
				if second >= surgeAt {
					requests[i]++
				}
			}
		}
		for range perSecond {
			e := q.Next(now, 1, always)
			if e == nil {
				break
			}
			q.Take(e, 1)
			q.Charge(1, e.Account, 1)
			if second >= surgeAt && !now.After(e.StartDeadline) {
				onTime[e.Value]++
			}
		}
	}
	onTimeShares := make([]float64, len(perAccount))
	for i := range onTimeShares {
		onTimeShares[i] = float64(onTime[i]) / float64(requests[i])
	}
	return onTimeShares
}

// minShareOfMean is the smallest allowed share of the requests of a client
// account that is served on time, relative to the mean of the class.
const minShareOfMean = 0.9

// TestEqualServiceInOverload checks that client accounts of different sizes get
// the same share of their requests served on time while the demand of the class
// is twice its capacity.
func TestEqualServiceInOverload(t *testing.T) {
	c := qt.New(t)
	onTimeShares := simulateOverload([]int{40, 40, 5, 5, 5, 5}, 50, 1, 0, time.Minute)
	mean := 0.0
	for i, n := range []float64{40, 40, 5, 5, 5, 5} {
		mean += onTimeShares[i] * n / 100
	}
	for _, p := range onTimeShares {
		c.Check(p >= minShareOfMean*mean, qt.IsTrue, qt.Commentf("%.2f of mean %.2f", onTimeShares, mean))
	}
}

// TestSurgeDoesNotAffectOthers checks that the other client accounts are served
// as before when one suddenly sends ten times its usual number of requests.
func TestSurgeDoesNotAffectOthers(t *testing.T) {
	c := qt.New(t)
	onTimeShares := simulateOverload([]int{10, 10, 10, 10, 10}, 60, 10, 2*time.Minute, 3*time.Minute)
	for _, p := range onTimeShares[1:] {
		c.Check(p >= minShareOfMean, qt.IsTrue, qt.Commentf("%.2f", onTimeShares))
	}
	c.Check(onTimeShares[0] > 0, qt.IsTrue, qt.Commentf("%.2f", onTimeShares))
}
