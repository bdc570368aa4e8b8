package queue_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/queue"

	qt "github.com/frankban/quicktest"
)

// overload plays client accounts that ask for so many requests a second each,
// of which perSecond are served, and returns the part of each one's requests
// that was served in time. From surgeAt on the first one asks for surge times as
// much.
func overload(perAccount []int, perSecond, surge int, surgeAt, until time.Duration) []float64 {
	const inTime = time.Second
	q := queue.New[int]()
	asked, met := make([]int, len(perAccount)), make([]int, len(perAccount))
	for second := time.Duration(0); second < until; second += time.Second {
		now := start.Add(second)
		for i, n := range perAccount {
			if i == 0 && second >= surgeAt {
				n *= surge
			}
			for range n {
				q.Push(&queue.Entry[int]{Value: i, Account: fmt.Sprint(i), Tier: 1, Arrived: now, StartDeadline: now.Add(inTime)})
				if second >= surgeAt {
					asked[i]++
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
				met[e.Value]++
			}
		}
	}
	parts := make([]float64, len(perAccount))
	for i := range parts {
		parts[i] = float64(met[i]) / float64(asked[i])
	}
	return parts
}

// worstOfClass is the least part of a class's mean that a client account is to
// be served.
const worstOfClass = 0.9

// TestLargeAccountsInOverload replays a class that asks for twice what there is,
// with client accounts of unequal size: each gets the same part of its requests
// in time.
func TestLargeAccountsInOverload(t *testing.T) {
	c := qt.New(t)
	parts := overload([]int{40, 40, 5, 5, 5, 5}, 50, 1, 0, time.Minute)
	sum := 0.0
	for i, n := range []float64{40, 40, 5, 5, 5, 5} {
		sum += parts[i] * n / 100
	}
	for _, p := range parts {
		c.Check(p >= worstOfClass*sum, qt.IsTrue, qt.Commentf("%.2f of mean %.2f", parts, sum))
	}
}

// TestSurgingAccountTakesNothing replays a client account that suddenly asks for
// ten times its usual: the others are served as before.
func TestSurgingAccountTakesNothing(t *testing.T) {
	c := qt.New(t)
	parts := overload([]int{10, 10, 10, 10, 10}, 60, 10, 2*time.Minute, 3*time.Minute)
	for _, p := range parts[1:] {
		c.Check(p >= worstOfClass, qt.IsTrue, qt.Commentf("%.2f", parts))
	}
	c.Check(parts[0] > 0, qt.IsTrue, qt.Commentf("%.2f", parts))
}
