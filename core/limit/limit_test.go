package limit_test

import (
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/limit"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestAcquire(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name    string
		account config.ClientAccount
		prepare func(l *limit.Limiter, a *config.ClientAccount)
		wait    time.Duration
		want    limit.Reason
	}{
		{
			name:    "no limits",
			account: config.ClientAccount{Name: "a"},
			prepare: func(l *limit.Limiter, a *config.ClientAccount) { l.Charge(a.Name, 1_000_000, start) },
			want:    limit.None,
		},
		{
			name:    "request balance used up",
			account: config.ClientAccount{Name: "a", RequestsPerMinute: 2},
			prepare: acquire(2),
			want:    limit.Requests,
		},
		{
			name:    "request balance refilled",
			account: config.ClientAccount{Name: "a", RequestsPerMinute: 2},
			prepare: acquire(2),
			wait:    30 * time.Second,
			want:    limit.None,
		},
		{
			name:    "token balance is negative",
			account: config.ClientAccount{Name: "a", TokensPerMinute: 100},
			prepare: func(l *limit.Limiter, a *config.ClientAccount) { acquire(1)(l, a); l.Charge(a.Name, 200, start) },
			wait:    59 * time.Second,
			want:    limit.Tokens,
		},
		{
			name:    "token balance recovered",
			account: config.ClientAccount{Name: "a", TokensPerMinute: 100},
			prepare: func(l *limit.Limiter, a *config.ClientAccount) { acquire(1)(l, a); l.Charge(a.Name, 200, start) },
			wait:    61 * time.Second,
			want:    limit.None,
		},
		{
			name:    "too many concurrent requests",
			account: config.ClientAccount{Name: "a", ConcurrentRequests: 2},
			prepare: acquire(2),
			wait:    time.Hour,
			want:    limit.Concurrent,
		},
		{
			name:    "one request ended",
			account: config.ClientAccount{Name: "a", ConcurrentRequests: 2},
			prepare: func(l *limit.Limiter, a *config.ClientAccount) { acquire(2)(l, a); l.Release(a.Name, start) },
			want:    limit.None,
		},
	} {
		c.Run(test.name, func(c *qt.C) {
			l := limit.New(1)
			test.prepare(l, &test.account)
			decision := l.Acquire(&test.account, start.Add(test.wait))
			c.Assert(decision.Reason, qt.Equals, test.want)
		})
	}
}

func acquire(n int) func(*limit.Limiter, *config.ClientAccount) {
	return func(l *limit.Limiter, a *config.ClientAccount) {
		for range n {
			l.Acquire(a, start)
		}
	}
}

func TestRetryAfterIsEnough(t *testing.T) {
	c := qt.New(t)
	l := limit.New(1)
	a := &config.ClientAccount{Name: "a", RequestsPerMinute: 7}
	acquire(7)(l, a)
	decision := l.Acquire(a, start)
	c.Assert(decision.Reason, qt.Equals, limit.Requests)
	c.Assert(l.Acquire(a, start.Add(decision.RetryAfter+time.Millisecond)).Reason, qt.Equals, limit.None)
}

// TestLimitIsNotExceeded checks, over random times that may also go back, that
// the shares of a limit together admit no more requests than the limit allows
// in the elapsed time, plus one minute's worth at once.
func TestLimitIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perMinute := rapid.IntRange(1, 100).Draw(t, "limit")
		shares := rapid.IntRange(1, 9).Draw(t, "shares")
		a := &config.ClientAccount{Name: "a", RequestsPerMinute: perMinute}
		limiters := make([]*limit.Limiter, shares)
		for i := range limiters {
			limiters[i] = limit.New(1 / float64(shares))
		}
		now, earliest, latest, acquired := start, start, start, 0
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(-1000, 3000).Draw(t, "step")) * time.Millisecond)
			if now.Before(earliest) {
				earliest = now
			}
			if now.After(latest) {
				latest = now
			}
			l := limiters[rapid.IntRange(0, shares-1).Draw(t, "daemon")]
			if l.Acquire(a, now).Reason == limit.None {
				acquired++
				l.Release(a.Name, now)
			}
			allowed := float64(perMinute)*(1+latest.Sub(earliest).Minutes()) + float64(shares)
			if float64(acquired) > allowed {
				t.Fatalf("%d requests acquired, %.1f allowed", acquired, allowed)
			}
		}
	})
}
