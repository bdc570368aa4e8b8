package placement

import (
	"math"
	"slices"
	"time"

	"acaciapath.example/core/rendezvous"
)

// A brittle server crashes if it rejects more than a number of requests within a second, from all
// daemons together. The daemons therefore divide its slots, so that all of them together do not
// fill it. Each keeps to the level that the server is known to accept, and tries to exceed it with
// a request at a time. A daemon with a part of a server, an owner, has a token for each rejection
// that it may cause within its part; a few of the owners, the borrowers, have one for each beyond it.
// All together have fewer in any second than the server bears, if it has fewer owners than that.

const (
	// cautionTime is the time after a rejection in which a daemon sends a server only as many
	// requests at once as it may cause rejections.
	cautionTime = 2 * time.Second
	// acceptTime is the time after which a request that was not rejected was accepted. A server
	// that is full says so at once.
	acceptTime = 100 * time.Millisecond
	// provenTime is how long a level that is no longer reached counts as accepted.
	provenTime = time.Second
	// minBackoff and maxBackoff bound the time from a rejection to the next try. It doubles
	// with every rejected try.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// borrowInterval is the least time between requests beyond this daemon's part, and
	// lendInterval that after which it gives up one of them.
	borrowInterval = time.Second
	lendInterval   = 2 * time.Second
	// lostBackoff is the time from a lost connection to the next try.
	lostBackoff = 500 * time.Millisecond
	// raiseInterval is the time in which the level at a server that bears no rejection grows by
	// a request after one.
	raiseInterval = 4 * time.Second
	// borrowDelay is the time from the first word of brittle servers in which their owners keep
	// to their parts. They let fewer wait after it.
	borrowDelay = 5 * time.Second
	// brittleMemory is how long a service counts as brittle without news.
	brittleMemory = 30 * time.Second
	// brittleQuiet is the time without a server that says it is brittle after which an answer
	// that does not say so ends it for all servers of the service.
	brittleQuiet = 2 * time.Second
	// defaultRunTime is how long requests are taken to run until some have ended.
	defaultRunTime = time.Second
)

// brittleness is what the servers of a service say of being brittle.
type brittleness struct {
	// rejections is the least number of rejections in a second that a server named.
	rejections float64
	// since is when the first server said so, and namedAt when the last one did.
	since, namedAt time.Time
}

// brittleShare is this daemon's part of a brittle server.
type brittleShare struct {
	// named is the number of rejections in a second that the server bears by its own word, of
	// namedAt, or 0.
	named   float64
	namedAt time.Time
	// plainAt is when a request was sent whose answer did not say that the server is brittle.
	plainAt time.Time
	// divided states that the fields below are set, which is while the service is brittle.
	divided bool
	// bears is the number of rejections in a second that the server bears from the daemons that
	// divide its slots with this one.
	bears float64
	// borrowAt is when this daemon may exceed its part by another request.
	borrowAt time.Time
	// room is this daemon's part of the slots. room ≥ 0.
	room int
	// within has a token for each rejection that this daemon may cause by requests within its
	// part, and beyond for those that exceed it.
	within, beyond bucket
	// proven is the number of this daemon's requests that the server accepts, until it rejects
	// one. It was reached at provenAt. proven ≥ 0.
	proven   int
	provenAt time.Time
	// unconfirmed are the requests that may yet be rejected, in the order in which they were sent.
	unconfirmed []brittleRequest
	// rejectedAt is when a request was rejected last, and tryAfter when the daemon may try to
	// exceed proven again. backoff was the time between the two.
	rejectedAt, tryAfter time.Time
	backoff              time.Duration
}

// brittleRequest is a request that a brittle server may yet reject.
type brittleRequest struct {
	sent time.Time
	// level is the number of this daemon's requests with it if it exceeded the level that the
	// server is known to accept, or else 0.
	level int
}

// begin records that a request was sent. running is the number of this daemon's requests without it.
func (b *brittleShare) begin(running int, now time.Time) {
	if !b.divided {
		return
	}
	r := brittleRequest{sent: now}
	if b.accepted(running) >= b.proven {
		r.level = running + 1
	}
	b.unconfirmed = append(b.unconfirmed, r)
}

// remove removes the unconfirmed request that was sent at sent. It returns a zero request if there is
// none.
func (b *brittleShare) remove(sent time.Time) (removed brittleRequest) {
	if i := slices.IndexFunc(b.unconfirmed, func(r brittleRequest) bool { return r.sent.Equal(sent) }); i >= 0 {
		removed = b.unconfirmed[i]
		b.unconfirmed = slices.Delete(b.unconfirmed, i, i+1)
	}
	return removed
}

// confirm records that the server accepted a request.
func (b *brittleShare) confirm(r brittleRequest, now time.Time) {
	if r.level <= b.proven || !r.sent.After(b.rejectedAt) {
		return
	}
	b.proven, b.provenAt, b.backoff = r.level, now, 0
	if r.level > b.room {
		b.borrowAt = now.Add(borrowInterval)
	}
}

// accepted returns how many of the running requests of this daemon the server is taken to have
// accepted.
func (b *brittleShare) accepted(running int) int {
	for _, r := range b.unconfirmed {
		if r.level > 0 {
			running--
		}
	}
	return max(running, 0)
}

// IsBrittle reports whether a server may be brittle: it or another server of the service said so,
// and it has not answered without saying so since.
func (p *Pool) IsBrittle(s *Server, now time.Time) bool {
	if p.brittle == nil {
		return false
	}
	if now.Sub(p.brittle.namedAt) > brittleMemory {
		p.forgetBrittle()
		return false
	}
	plain := s.brittle.plainAt
	return !plain.After(p.brittle.since) || !plain.After(s.brittle.namedAt)
}

// forgetBrittle records that the servers are not brittle.
func (p *Pool) forgetBrittle() {
	p.brittle = nil
	for _, s := range p.Servers {
		s.brittle = brittleShare{plainAt: s.brittle.plainAt}
	}
}

// BrittleServers returns the number of servers that may be brittle.
func (p *Pool) BrittleServers(now time.Time) int {
	n := 0
	for _, s := range p.Servers {
		if p.IsBrittle(s, now) {
			n++
		}
	}
	return n
}

// SetBrittle records that an answer of a server says that it is brittle and bears a number of
// rejections in a second. It reports whether that is new for the service.
func (p *Pool) SetBrittle(s *Server, rejections float64, now time.Time) bool {
	known := p.brittle != nil && now.Sub(p.brittle.namedAt) <= brittleMemory
	if !known {
		p.forgetBrittle()
		p.brittle = &brittleness{rejections: rejections, since: now}
	}
	p.brittle.namedAt = now
	changed := !known || s.brittle.namedAt.IsZero() || s.brittle.named != rejections
	s.brittle.named, s.brittle.namedAt = rejections, now
	p.brittle.rejections = min(p.brittle.rejections, rejections)
	if changed {
		p.divideBrittle(now)
	}
	return !known
}

// EndBrittle records that an answer of a server, to a request which was sent at sent, does not say
// that it is brittle. It reports whether that ended it for the service.
func (p *Pool) EndBrittle(s *Server, sent time.Time) bool {
	if sent.After(s.brittle.plainAt) {
		s.brittle.plainAt = sent
	}
	if p.brittle == nil || sent.Sub(p.brittle.namedAt) < brittleQuiet {
		return false
	}
	p.forgetBrittle()
	return true
}

// settle updates the level that the server accepts. running is the number of this daemon's requests
// there.
func (b *brittleShare) settle(running int, now time.Time) {
	for len(b.unconfirmed) > 0 && now.Sub(b.unconfirmed[0].sent) >= acceptTime {
		b.confirm(b.unconfirmed[0], now)
		b.unconfirmed = b.unconfirmed[1:]
	}
	b.within.refill(now)
	b.beyond.refill(now)
	if b.bears < 1 {
		if b.proven < b.room && now.Sub(b.provenAt) >= raiseInterval {
			b.proven, b.provenAt = b.proven+1, now
		}
		return
	}
	accepted := b.accepted(running)
	elapsed := now.Sub(b.provenAt)
	switch {
	case b.proven > b.room && elapsed >= lendInterval:
		b.proven, b.provenAt = b.proven-1, now // others may need their parts
	case accepted >= b.proven && b.proven <= b.room:
		b.provenAt = now
	case b.proven <= b.room && elapsed >= provenTime:
		b.proven, b.provenAt = accepted, now
	}
}

// Kinds of requests that may be sent to a brittle server.
type brittleSend int

const (
	// sendNone means that no request may be sent.
	sendNone brittleSend = iota
	// sendProven means that the server is known to accept the request.
	sendProven
	// sendTry means that the request may be rejected, and is within this daemon's part.
	sendTry
	// sendBorrow means that the request exceeds this daemon's part.
	sendBorrow
)

// nextBrittle returns which request this daemon may send to a brittle server.
func (p *Pool) nextBrittle(s *Server, now time.Time) brittleSend {
	b := &s.brittle
	b.settle(s.Running, now)
	if b.bears < 1 {
		if s.Running < b.proven && !now.Before(b.tryAfter) {
			return sendProven
		}
		return sendNone
	}
	tokens, kind := b.within.tokens, sendTry
	if s.Running >= b.room {
		tokens, kind = b.beyond.tokens, sendBorrow
	}
	accepted := b.accepted(s.Running)
	tries := s.Running - accepted
	if now.Sub(b.rejectedAt) < cautionTime {
		tokens -= float64(len(b.unconfirmed))
	}
	switch {
	case tokens < 1:
		return sendNone
	case accepted < b.proven:
		return sendProven
	case tokens-float64(tries) < 1 || now.Before(b.tryAfter) || kind == sendBorrow && now.Before(b.borrowAt):
		return sendNone
	}
	return kind
}

// Terms of the cost of a brittle server, in prompt tokens.
const (
	// brittleTryTokens is the cost of a request that may be rejected.
	brittleTryTokens = 200
	// brittleBorrowTokens is the cost of a request beyond this daemon's part.
	brittleBorrowTokens = 20_000
)

// brittleCost returns the cost of a request that a brittle server may reject, in prompt tokens.
func (p *Pool) brittleCost(s *Server, now time.Time) float64 {
	switch p.nextBrittle(s, now) {
	case sendTry:
		return brittleTryTokens
	case sendBorrow:
		return brittleBorrowTokens
	}
	return 0
}

// ConfirmRequest records that a server did not reject the request that was sent at sent.
func (s *Server) ConfirmRequest(sent, now time.Time) {
	s.brittle.confirm(s.brittle.remove(sent), now)
}

// ForgetRequest records that the request that was sent at sent ended without telling whether the server
// would have rejected it.
func (s *Server) ForgetRequest(sent time.Time) { s.brittle.remove(sent) }

// RecordRoomRejection records that a server rejected the request that was sent at sent, which has
// ended.
func (p *Pool) RecordRoomRejection(s *Server, sent, now time.Time) {
	s.RecordRejection(now)
	b := &s.brittle
	b.remove(sent)
	if !p.IsBrittle(s, now) {
		return
	}
	b.settle(s.Running, now)
	tokens := &b.within.tokens
	if s.Running >= b.room {
		tokens = &b.beyond.tokens
	}
	*tokens = max(*tokens-1, -1)
	b.lower(s.Running, p.brittle.since, now)
	b.rejectedAt, b.tryAfter = now, now.Add(b.jitter(s, p, now, b.backoff))
}

// lower lowers the level that the server accepts after a rejection. Those of the first seconds come
// from requests that were sent before, and do not delay the next try for long.
func (b *brittleShare) lower(running int, since, now time.Time) {
	first := now.Sub(since) < borrowDelay
	accepted := b.accepted(running)
	switch {
	case b.bears >= 1:
		b.proven, b.provenAt = min(b.proven, accepted), now
	case !first && now.Sub(b.rejectedAt) >= cautionTime:
		b.proven, b.provenAt = min(b.proven, accepted*3/4), now
	}
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	if first {
		b.backoff = minBackoff
	}
}

// jitter returns a time from d to half as much again, which differs between daemons.
func (b *brittleShare) jitter(s *Server, p *Pool, now time.Time, d time.Duration) time.Duration {
	part := float64(rendezvous.Mix(s.nameHash^p.ownHash^uint64(now.UnixNano()))) / math.MaxUint64
	return d + time.Duration(part*float64(d)/2)
}

// loseBrittle records that a connection to the server failed or was lost.
func (b *brittleShare) loseBrittle(running int, now time.Time) {
	if b.bears >= 1 {
		b.proven, b.provenAt = min(b.proven, b.accepted(running-1)), now
	}
	if after := now.Add(lostBackoff); after.After(b.tryAfter) {
		b.tryAfter = after
	}
}

// ObserveRunTime records how long a request ran.
func (p *Pool) ObserveRunTime(d time.Duration) {
	if d > 0 {
		p.runTime.add(d)
	}
}

// BrittleRate returns the rate at which this daemon's room at the brittle servers that accept a
// request becomes free, in requests a second, or 0 if none is brittle.
func (p *Pool) BrittleRate(requirements Requirements, now time.Time) float64 {
	sum := 0.0
	for _, s := range p.Servers {
		if !s.isExcluded() && p.accepts(s, requirements) && p.IsBrittle(s, now) {
			_, rate := p.brittleReturn(s, now)
			sum += rate
		}
	}
	return sum
}

// brittleReturn returns the time until this daemon expects to have room at a brittle server, and
// the rate at which it then sends requests there, in requests a second.
func (p *Pool) brittleReturn(s *Server, now time.Time) (wait time.Duration, rate float64) {
	b := &s.brittle
	if b.room == 0 && b.beyond.rate == 0 {
		return maxReturnTime, 0
	}
	level := max(b.proven, 1)
	if b.backoff == 0 {
		level = max(b.proven, b.room)
	}
	runTime := defaultRunTime
	if p.runTime.n > 0 {
		runTime = max(p.runTime.mean, acceptTime)
	}
	wait = runTime / time.Duration(level)
	if b.proven == 0 {
		wait = max(wait, b.tryAfter.Sub(now))
	}
	return wait, float64(level) / runTime.Seconds()
}
