// Package limit holds client accounts to the limits that they bought: requests
// and tokens a minute, and requests at once.
//
// All functions take the present time as an argument and perform no I/O.
package limit

import (
	"time"

	"acaciapath.example/core/config"
)

// Reason is the limit that refuses a request.
type Reason string

// The limits.
const (
	None       Reason = ""
	Requests   Reason = "requests-per-minute"
	Tokens     Reason = "tokens-per-minute"
	Concurrent Reason = "concurrent-requests"
)

// Decision says whether a request may enter.
type Decision struct {
	// Reason is the limit that refuses it, or None.
	Reason Reason
	// RetryAfter is when the limit will let a request in again, as far as is known;
	// 0 if it depends on others ending.
	RetryAfter time.Duration
}

// Limiter holds the state of the limits of all client accounts that were seen
// within a minute. It is not safe for concurrent use.
type Limiter struct {
	// Share is the part of every limit that this process may give out. The
	// shares of the processes that serve a client account add up to 1.
	// 0 < Share ≤ 1.
	Share float64

	accounts map[string]*state
	swept    time.Time
}

// New returns a limiter without state.
func New(share float64) *Limiter {
	return &Limiter{Share: share, accounts: make(map[string]*state)}
}

// Acquire takes a request in, unless a limit of the client account refuses it.
// Every request that entered must Leave.
func (l *Limiter) Acquire(a *config.ClientAccount, now time.Time) Decision {
	l.sweep(now)
	s := l.state(a.Name, now)
	requests := bucket{perMinute: float64(a.RequestsPerMinute) * l.Share}
	tokens := bucket{perMinute: float64(a.TokensPerMinute) * l.Share}
	s.refill(requests, tokens, now)
	if a.ConcurrentRequests > 0 && s.running >= l.concurrent(a) {
		return Decision{Reason: Concurrent}
	}
	if a.RequestsPerMinute > 0 && s.requests < 1 {
		return Decision{Reason: Requests, RetryAfter: requests.wait(1 - s.requests)}
	}
	if a.TokensPerMinute > 0 && s.tokens <= 0 {
		return Decision{Reason: Tokens, RetryAfter: tokens.wait(1 - s.tokens)}
	}
	s.requests--
	s.running++
	return Decision{}
}

// Charge takes tokens that were processed or generated from the balance, which
// may go below zero, because the length of an answer is not known before.
func (l *Limiter) Charge(account string, tokens int, now time.Time) {
	l.state(account, now).tokens -= float64(tokens)
}

// Release ends a request that entered.
func (l *Limiter) Release(account string, now time.Time) {
	s := l.state(account, now)
	if s.running > 0 {
		s.running--
	}
}

// concurrent returns this process's part of the requests at once, at least 1.
func (l *Limiter) concurrent(a *config.ClientAccount) int {
	return max(1, int(float64(a.ConcurrentRequests)*l.Share))
}

func (l *Limiter) state(account string, now time.Time) *state {
	s, ok := l.accounts[account]
	if !ok {
		s = &state{full: true, updated: now}
		l.accounts[account] = s
	}
	return s
}

// sweep drops the states that do not differ from a new one: nothing runs, and
// the balances have been full for a minute.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	for name, s := range l.accounts {
		if s.running == 0 && s.tokens >= 0 && now.Sub(s.updated) >= window {
			delete(l.accounts, name)
		}
	}
}

// Times of the limits.
const (
	// window is the time over which a bucket fills.
	window = time.Minute
	// sweepInterval is how often states are looked over.
	sweepInterval = time.Minute
)

// state is what is left to one client account.
type state struct {
	// requests and tokens are the balances at updated.
	requests, tokens float64
	updated          time.Time
	running          int
	// full marks a new state, whose balances the first refill fills.
	full bool
}

// refill adds what has accrued since the last refill. A clock that went back
// adds nothing.
func (s *state) refill(requests, tokens bucket, now time.Time) {
	if s.full {
		s.full = false
		s.requests += requests.perMinute
		s.tokens += tokens.perMinute
		s.updated = now
		return
	}
	elapsed := now.Sub(s.updated)
	if elapsed <= 0 {
		return
	}
	s.requests = requests.fill(s.requests, elapsed)
	s.tokens = tokens.fill(s.tokens, elapsed)
	s.updated = now
}

// bucket is the rate of a token bucket that holds a minute's worth.
type bucket struct {
	perMinute float64
}

// fill returns a balance after a time. A share of a small limit may be less
// than one request, which the bucket still has to be able to hold.
func (b bucket) fill(balance float64, elapsed time.Duration) float64 {
	return min(balance+b.perMinute*elapsed.Minutes(), max(b.perMinute, 1))
}

// wait returns how long it takes to gain an amount.
func (b bucket) wait(amount float64) time.Duration {
	if b.perMinute <= 0 {
		return 0
	}
	return time.Duration(amount / b.perMinute * float64(time.Minute))
}
