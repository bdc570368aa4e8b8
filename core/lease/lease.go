package lease

import (
	"time"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
)

// Divisors of the duration of a lease, and the number of remembered writes.
const (
	// marginDivisor gives the time between the end of the holder's grant and the
	// earliest time at which another process may acquire the lease.
	marginDivisor = 4
	// transitDivisor gives the time for which a send may be under way. It is greater than
	// marginDivisor.
	transitDivisor = 6
	// renewDivisor gives the time after which a lease is renewed.
	renewDivisor = 4
	// retryDivisor gives the time after which a failed call is retried.
	retryDivisor = 16
	// maxSentAttempts is the number of most recent writes whose send time is
	// remembered, in case one with an unknown outcome took effect.
	maxSentAttempts = 8
)

// Terms describe the lease that a process requests.
type Terms struct {
	// Name is the name of the lease.
	Name string
	// Holder is the name of the process. It is not empty and is never used by
	// another process, not even by a later one on the same VM.
	Holder string
	// Duration is how long the lease lasts without a renewal. It is a positive
	// number of whole milliseconds.
	Duration time.Duration
}

// Margin returns the time between the end of the holder's grant and the earliest
// time at which another process may acquire the lease. It covers sends in flight
// and the difference in the rates of two monotonic clocks.
func (t Terms) Margin() time.Duration { return t.Duration / marginDivisor }

// Transit returns how long what was sent may stay under way, also if its sender is stopped and cannot
// cancel it. It is shorter than Margin, so that it has arrived, or is lost, before another process
// acquires the lease.
func (t Terms) Transit() time.Duration { return t.Duration / transitDivisor }

// Lease is the state machine of one process for one lease. It has at most one
// request in flight. It is not safe for concurrent use.
type Lease struct {
	terms Terms
	// pollInterval is how often the row is read while another process holds the
	// lease. pollInterval > 0.
	pollInterval time.Duration
	// rowKnown reports whether the row has ever been read.
	rowKnown bool
	// version, fenceVersion and row are the last known state of the two rows.
	version, fenceVersion uint64
	row                   Row
	// changedAt is when version was first seen.
	changedAt Instant
	// requestedAt is when the last request was made.
	requestedAt Instant
	// lastReadAt is when the last successful read was requested.
	lastReadAt Instant
	// confirming states that the last read of a slow poller found a changed row. The
	// next read, once the lease could have expired, shows whether its holder is alive.
	confirming bool
	// candidates is the number of processes that poll the row, or 0 if unknown.
	candidates int
	// lastFailed reports whether the last request failed, other than by a
	// conflict.
	lastFailed bool
	// writeUncertain reports whether the row may have changed since it was last
	// read, because a write failed with an unknown outcome or conflicted.
	writeUncertain bool
	// lastAttempt is the number of the last write.
	lastAttempt uint64
	// sentAt is when recent writes were sent, by attempt number.
	sentAt map[uint64]Instant
	// releasing reports whether the lease is being released.
	releasing bool
	// epoch is the epoch of the table, or 0 if the table has none.
	epoch uint64
	// wasHolder states that the process was the last known holder when the table was restored,
	// and that no holder is known since. It then calls the table as often as a holder.
	wasHolder bool
	// carried is the grant that the process had when it noticed that the table was
	// restored. While it is valid, no other process can hold the lease.
	carried *Grant
}

// New returns a Lease that has not read its row yet. It reads the row every
// pollInterval while another process holds the lease. If that is at least the duration
// of the lease, it makes two reads at a time, a duration apart, at the same mean rate:
// the later one of a pair shows whether the lease is still renewed.
func New(terms Terms, pollInterval time.Duration) *Lease {
	return &Lease{terms: terms, pollInterval: pollInterval, sentAt: make(map[uint64]Instant)}
}

// SetPollInterval sets how often the row is read while another process holds the
// lease. interval > 0.
func (l *Lease) SetPollInterval(interval time.Duration) { l.pollInterval = interval }

// SetCandidates sets the number of processes that poll the row. It is written into
// the row with the next renewal.
func (l *Lease) SetCandidates(n int) { l.candidates = n }

// SetEpoch sets the epoch of the table (core/epoch). now is the current time. What is known
// of the rows is void in a later epoch: the holder has to acquire the lease again, and every
// other process waits for the whole duration of the lease.
func (l *Lease) SetEpoch(current uint64, now Instant) {
	if current <= l.epoch {
		return
	}
	if l.epoch > 0 {
		if grant := l.Grant(); grant.MaySend(now) {
			l.carried = grant
		}
		l.wasHolder = l.wasHolder || l.heldByUs()
		l.rowKnown, l.writeUncertain, l.confirming = false, false, false
	}
	l.epoch = current
}

// effectivePollInterval returns how often the row is read while another process may hold the
// lease.
func (l *Lease) effectivePollInterval() time.Duration {
	if l.wasHolder {
		return min(l.pollInterval, l.terms.Duration/pollDivisor)
	}
	return l.pollInterval
}

// Row returns the last known lease row.
func (l *Lease) Row() Row { return l.row }

// Grant returns the grant of the process, or nil if the process is not known to
// hold the lease or is releasing it. The grant may have expired: see
// Grant.MaySend.
func (l *Lease) Grant() *Grant {
	since, ok := l.sentAt[l.row.Attempt]
	if !l.heldByUs() || !ok || l.releasing {
		return nil
	}
	return &Grant{
		Name:         l.terms.Name,
		Holder:       l.terms.Holder,
		Fence:        l.row.Fence,
		FenceVersion: l.fenceVersion,
		RenewedAt:    since,
		ValidFor:     l.row.Duration() - l.terms.Margin(),
	}
}

// Release starts to release the lease. From now on Grant returns nil. The caller
// must have ended all sends before.
func (l *Lease) Release() { l.releasing = true }

// Released reports whether the release is complete.
func (l *Lease) Released() bool {
	return l.releasing && l.rowKnown && !l.writeUncertain && !l.heldByUs()
}

// NextDelay returns how long after now Next has a request to make. The result may
// be negative.
func (l *Lease) NextDelay(now Instant) time.Duration {
	since := now.minElapsed(l.requestedAt)
	switch {
	case l.lastFailed && (l.heldByUs() || l.writeUncertain || l.wasHolder):
		return l.terms.Duration/retryDivisor - since
	case l.lastFailed:
		return l.pollInterval - since
	case !l.rowKnown || l.writeUncertain:
		return 0
	case l.heldByUs() && l.releasing:
		return 0
	case l.heldByUs():
		return l.renewWait(now)
	}
	switch {
	case l.releasing:
		return l.pollInterval - since
	case l.mayAcquire(now):
		return 0
	case l.effectivePollInterval() < l.terms.Duration:
		return min(l.effectivePollInterval()-since, l.acquireWait(now))
	case l.confirming:
		return l.acquireWait(now)
	}
	// The two reads of a pair count as two polls.
	return 2*l.pollInterval - l.terms.Duration - since
}

// Next returns the request to make to the table now, or a request of kind Wait if
// there is none yet.
func (l *Lease) Next(now Instant) Request {
	if l.NextDelay(now) > 0 {
		return Request{Kind: Wait}
	}
	l.requestedAt = now
	switch {
	case !l.rowKnown || l.writeUncertain:
		return l.readRequest()
	case l.heldByUs() && l.releasing:
		return l.writeRequest(now, Row{Fence: l.row.Fence}, false)
	case l.heldByUs():
		return l.writeRequest(now, Row{Holder: l.terms.Holder, Fence: l.row.Fence}, false)
	case !l.releasing && l.mayAcquire(now):
		return l.writeRequest(now, Row{Holder: l.terms.Holder, Fence: l.nextFence()}, true)
	}
	return l.readRequest()
}

// heldByUs reports whether the last known row names this process as the holder.
func (l *Lease) heldByUs() bool {
	return l.rowKnown && l.row.Holder == l.terms.Holder && l.row.Epoch == l.epoch
}

// isVacant reports whether the last known row shows that no process holds the lease. After
// the table was restored, a missing row does not show it.
func (l *Lease) isVacant() bool {
	if l.version == 0 {
		return l.epoch <= epoch.First
	}
	return l.row.Holder == "" && l.row.Epoch == l.epoch
}

// fenceVersionBits is the number of bits of a fencing token that hold the version of the
// replaced lease row, if the table has epochs. The higher ones hold the epoch.
const fenceVersionBits = 32

// nextFence returns the fencing token of the next acquisition. After the table was restored,
// the row may have an earlier token than the last one that was used, and a write that is
// applied late may replace a later row. Therefore the token is derived from the epoch and
// the version of the row that the acquisition replaces.
func (l *Lease) nextFence() uint64 {
	next := l.row.Fence + 1
	if l.epoch == 0 {
		return next
	}
	_, version := epoch.Split(l.version)
	return max(next, l.epoch<<fenceVersionBits+version+1)
}

// renewWait returns how long after now the lease has to be renewed.
func (l *Lease) renewWait(now Instant) time.Duration {
	since, ok := l.sentAt[l.row.Attempt]
	if !ok {
		return 0
	}
	return l.row.Duration()/renewDivisor - now.maxElapsed(since)
}

// mayAcquire reports whether the process may try to acquire the lease. A process
// whose poll interval is at least the duration of the lease reads the row once more
// before that: its last read is old, and a write based on it would nearly always
// conflict.
func (l *Lease) mayAcquire(now Instant) bool {
	if l.carried.MaySend(now) {
		return true
	}
	if l.acquireWait(now) > 0 {
		return false
	}
	return l.isVacant() || l.effectivePollInterval() < l.terms.Duration || l.acquireWait(l.lastReadAt) <= 0
}

// acquireWait returns how long after now the lease expires and may be acquired.
func (l *Lease) acquireWait(now Instant) time.Duration {
	if l.isVacant() {
		return 0
	}
	return max(l.row.Duration(), l.terms.Duration) - now.minElapsed(l.changedAt)
}

// readRequest returns a request that reads the rows of the lease.
func (l *Lease) readRequest() Request {
	keys := []string{RowKey(l.terms.Name), FenceKey(l.terms.Name)}
	return Request{Kind: Read, Get: &table.GetPayload{Keys: keys}}
}

// writeRequest returns a request that replaces the lease row, and also the fence
// row if acquire is set.
func (l *Lease) writeRequest(now Instant, row Row, acquire bool) Request {
	l.lastAttempt++
	l.sentAt[l.lastAttempt] = now
	delete(l.sentAt, l.lastAttempt-maxSentAttempts)
	row.Attempt = l.lastAttempt
	row.Epoch = l.epoch
	row.Candidates = l.candidates
	row.DurationMS = l.terms.Duration.Milliseconds()
	key := RowKey(l.terms.Name)
	commit := &table.CommitPayload{
		Conditions: []*table.Condition{{Key: key, Version: l.version}},
		Writes:     []*table.Write{{Key: key, Value: encode(row)}},
	}
	if acquire {
		key := FenceKey(l.terms.Name)
		fence := Fence{Holder: row.Holder, Fence: row.Fence}
		commit.Conditions = append(commit.Conditions, &table.Condition{Key: key, Version: l.fenceVersion})
		commit.Writes = append(commit.Writes, &table.Write{Key: key, Value: encode(fence)})
	}
	return Request{Kind: Write, Commit: commit, row: row}
}
