package lease

import (
	"time"

	"acaciapath.example/core/gen/table"
)

// Parts of a lease's duration.
const (
	// marginPart is the share of the duration, as a divisor, that lies between
	// a holder's send deadline and the earliest take-over by a successor.
	marginPart = 4
	// renewPart is the share, as a divisor, after which a lease is renewed.
	renewPart = 4
	// retryPart is the share, as a divisor, after which a failed call is
	// repeated.
	retryPart = 16
	// maxUnsettled is the number of writes of unknown fate that are remembered.
	maxUnsettled = 8
)

// Terms are what a process asks for.
type Terms struct {
	// Name is the name of the lease.
	Name string
	// Holder names the process. No other process ever has the same name, not
	// even a later one on the same VM. It is not empty.
	Holder string
	// Duration is how long the lease lasts without being renewed. It is in
	// whole milliseconds and > 0.
	Duration time.Duration
}

// Margin returns the time between the holder's send deadline and the earliest
// take-over by a successor. It covers sends on their way and the difference in
// the rates of two monotonic clocks.
func (t Terms) Margin() time.Duration { return t.Duration / marginPart }

// Lease is the state of one process towards one lease. It is not safe for
// concurrent use. It has at most one request outstanding.
type Lease struct {
	terms Terms
	// poll is how often a row that somebody else holds is read. poll > 0.
	poll time.Duration
	// known says whether the row has been read at all.
	known bool
	// version, fenceVersion and row are the last state that is known.
	version, fenceVersion uint64
	row                   Row
	// observed is when the version was first known.
	observed Instant
	// asked is when the last request was made.
	asked Instant
	// confirmed is when the last read that was answered was asked for.
	confirmed Instant
	// candidates is the number of processes that read the row, or 0.
	candidates int
	// failed says whether the last request failed.
	failed bool
	// uncertain says whether a write may have taken effect since the row was
	// last read.
	uncertain bool
	// attempt numbers the writes.
	attempt uint64
	// sent holds when recent writes were sent, by attempt.
	sent map[uint64]Instant
	// releasing says whether the lease is being given back.
	releasing bool
}

// New returns the state of a process that knows nothing of the lease yet and
// reads its row every poll while somebody else holds it.
func New(terms Terms, poll time.Duration) *Lease {
	return &Lease{terms: terms, poll: poll, sent: make(map[uint64]Instant)}
}

// SetPoll changes how often the row is read while somebody else holds it.
func (l *Lease) SetPoll(poll time.Duration) { l.poll = poll }

// SetCandidates tells the number of processes that read the row. It is written
// into the row with the next renewal.
func (l *Lease) SetCandidates(n int) { l.candidates = n }

// Row returns the row as it was last known.
func (l *Lease) Row() Row { return l.row }

// Grant returns what the process may do, or nil if it is not known to hold the
// lease. The grant's own methods tell whether its time has run out.
func (l *Lease) Grant() *Grant {
	since, ok := l.sent[l.row.Attempt]
	if !l.mine() || !ok || l.releasing {
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

// Release starts to give the lease back. From now on there is no grant. The
// caller has ended all sends before.
func (l *Lease) Release() { l.releasing = true }

// Released reports whether nothing is left to give back.
func (l *Lease) Released() bool { return l.releasing && l.known && !l.uncertain && !l.mine() }

// NextDelay returns how long after now Next has something to ask.
func (l *Lease) NextDelay(now Instant) time.Duration {
	since := now.atLeast(l.asked)
	switch {
	case l.failed && (l.mine() || l.uncertain):
		return l.terms.Duration/retryPart - since
	case l.failed:
		return l.poll - since
	case !l.known || l.uncertain:
		return 0
	case l.mine() && l.releasing:
		return 0
	case l.mine():
		return l.renewDue(now)
	}
	wait := l.poll - since
	switch {
	case l.releasing:
	case l.mayTakeOver(now):
		return 0
	case l.poll < l.terms.Duration:
		wait = min(wait, l.takeOverWait(now))
	}
	return wait
}

// Next returns what to ask of the table, or a request of kind Wait.
func (l *Lease) Next(now Instant) Request {
	if l.NextDelay(now) > 0 {
		return Request{Kind: Wait}
	}
	l.asked = now
	switch {
	case !l.known || l.uncertain:
		return l.read()
	case l.mine() && l.releasing:
		return l.write(now, Row{Fence: l.row.Fence}, false)
	case l.mine():
		return l.write(now, Row{Holder: l.terms.Holder, Fence: l.row.Fence}, false)
	case !l.releasing && l.mayTakeOver(now):
		return l.write(now, Row{Holder: l.terms.Holder, Fence: l.row.Fence + 1}, true)
	}
	return l.read()
}

// mine reports whether the row names the process as the holder.
func (l *Lease) mine() bool { return l.known && l.row.Holder == l.terms.Holder }

// renewDue returns how long after now the lease is to be renewed.
func (l *Lease) renewDue(now Instant) time.Duration {
	since, ok := l.sent[l.row.Attempt]
	if !ok {
		return 0
	}
	return l.row.Duration()/renewPart - now.atMost(since)
}

// mayTakeOver reports whether the lease may be acquired. A process that reads the
// row less often than a lease lasts first reads it once more: what it knows is
// old, and a write on top of it nearly always conflicts.
func (l *Lease) mayTakeOver(now Instant) bool {
	if l.takeOverWait(now) > 0 {
		return false
	}
	return l.row.Holder == "" || l.poll < l.terms.Duration || l.takeOverWait(l.confirmed) <= 0
}

// takeOverWait returns how long after now the lease may be acquired.
func (l *Lease) takeOverWait(now Instant) time.Duration {
	if l.row.Holder == "" {
		return 0
	}
	return max(l.row.Duration(), l.terms.Duration) - now.atLeast(l.observed)
}

// read returns a request for the rows of the lease.
func (l *Lease) read() Request {
	keys := []string{RowKey(l.terms.Name), FenceKey(l.terms.Name)}
	return Request{Kind: Read, Get: &table.GetPayload{Keys: keys}}
}

// write returns a request that replaces the row, and the fence row as well if
// the lease changes hands.
func (l *Lease) write(now Instant, row Row, acquire bool) Request {
	l.attempt++
	l.sent[l.attempt] = now
	delete(l.sent, l.attempt-maxUnsettled)
	row.Attempt = l.attempt
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
