package limit

import (
	"time"

	"acaciapath.example/core/config"
)

// Reason is the limit that refuses a request.
type Reason string

// Reasons, named like the limits in the settings. None means that no limit
// refuses the request.
const (
	None       Reason = ""
	Requests   Reason = "requests-per-minute"
	Tokens     Reason = "tokens-per-minute"
	Concurrent Reason = "concurrent-requests"
)

// Decision states whether a request may start.
type Decision struct {
	// Reason is the limit that refuses the request, or None.
	Reason Reason
	// RetryAfter is how long to wait until the limit is expected to admit a
	// request. It is 0 if that depends on running requests ending.
	RetryAfter time.Duration
}

// Limiter enforces the limits of client accounts. It keeps state only for
// client accounts that were active within the last minutes. It is not safe for
// concurrent use.
type Limiter struct {
	// Share is the part of every limit that this process may use. The shares of
	// all processes that serve a client account add up to 1. 0 < Share ≤ 1.
	Share float64

	accounts  map[string]*accountState
	lastSweep time.Time
}

// New returns a limiter that has seen no requests.
func New(share float64) *Limiter {
	return &Limiter{Share: share, accounts: make(map[string]*accountState)}
}

// Acquire admits a request, unless a limit of the client account refuses it.
// The caller must call Release for each admitted request.
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

// Charge subtracts processed and generated tokens from the balance. The balance
// may become negative, because the length of an answer is not known in advance.
func (l *Limiter) Charge(account string, tokens int, now time.Time) {
	l.state(account, now).tokens -= float64(tokens)
}

// Release ends an admitted request.
func (l *Limiter) Release(account string, now time.Time) {
	s := l.state(account, now)
	if s.running > 0 {
		s.running--
	}
}

// concurrent returns this process's share of the limit of concurrent requests,
// at least 1.
func (l *Limiter) concurrent(a *config.ClientAccount) int {
	return max(1, int(float64(a.ConcurrentRequests)*l.Share))
}

// state returns the state of a client account. It creates the state if there is
// none.
func (l *Limiter) state(account string, now time.Time) *accountState {
	s, ok := l.accounts[account]
	if !ok {
		s = &accountState{isNew: true, updated: now}
		l.accounts[account] = s
	}
	return s
}

// sweep drops the states of client accounts that are equivalent to new ones:
// nothing runs, and a minute without a request has refilled the balances. It
// does nothing if the last sweep is less than sweepInterval ago.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for name, s := range l.accounts {
		if s.running == 0 && s.tokens >= 0 && now.Sub(s.updated) >= window {
			delete(l.accounts, name)
		}
	}
}

const (
	// window is the time in which an empty bucket refills.
	window = time.Minute
	// sweepInterval is the time between two sweeps of the states.
	sweepInterval = time.Minute
)

// accountState holds the balances of one client account.
type accountState struct {
	// requests and tokens are the balances at the time updated.
	requests, tokens float64
	updated          time.Time
	running          int
	// isNew marks a new state, whose balances the first refill fills.
	isNew bool
}

// refill adds what has accrued since the last refill. It adds nothing if the
// clock went back.
func (s *accountState) refill(requests, tokens bucket, now time.Time) {
	if s.isNew {
		s.isNew = false
		s.requests += requests.perMinute
		s.tokens += tokens.perMinute
		s.updated = now
		return
	}
	elapsed := now.Sub(s.updated)
	if elapsed <= 0 {
		return
	}
	s.requests = requests.refilled(s.requests, elapsed)
	s.tokens = tokens.refilled(s.tokens, elapsed)
	s.updated = now
}

// bucket is a token bucket that refills at perMinute and holds the amount of
// one minute.
type bucket struct {
	perMinute float64
}

// refilled returns the balance after the elapsed time. The capacity is at least
// 1: the share of a small limit may be less than one request, and the bucket
// must still be able to hold one.
func (b bucket) refilled(balance float64, elapsed time.Duration) float64 {
	return min(balance+b.perMinute*elapsed.Minutes(), max(b.perMinute, 1))
}

// wait returns how long it takes to gain the given amount, or 0 if the bucket
// does not refill.
func (b bucket) wait(amount float64) time.Duration {
	if b.perMinute <= 0 {
		return 0
	}
	return time.Duration(amount / b.perMinute * float64(time.Minute))
}
