package placement

import "time"

// bucket is a token bucket: this daemon's part of what a backend server takes from all
// daemons together, which do not see each other's requests.
type bucket struct {
	// rate and capacity are in tokens a second and tokens. They are 0 if the daemon has no
	// part.
	rate, capacity float64
	// 0 ≤ tokens ≤ capacity.
	tokens  float64
	updated time.Time
}

// divide sets the part of one of users daemons, which together may save a number of
// requests, or no part if users is 0.
func (b *bucket) divide(perSecond, saved float64, users int) {
	b.rate, b.capacity = 0, 0
	if users > 0 {
		b.rate = perSecond / float64(users)
		b.capacity = max(1, saved/float64(users))
	}
	b.tokens = min(b.tokens, b.capacity)
}

// refill adds the tokens of the time since the last call.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.capacity)
	}
	b.updated = now
}

// take takes the token of a request.
func (b *bucket) take() { b.tokens = max(b.tokens-1, 0) }

// nextToken returns the time until the daemon may send a request to the server, or false if
// it has no part.
func (b *bucket) nextToken(now time.Time) (time.Duration, bool) {
	b.refill(now)
	if b.rate <= 0 {
		return 0, false
	}
	return time.Duration(max(1-b.tokens, 0) / b.rate * float64(time.Second)), true
}
