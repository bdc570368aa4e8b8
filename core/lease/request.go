package lease

import (
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platform"
)

// RequestKind is the kind of a request.
type RequestKind int

// The kinds of requests.
const (
	// Wait asks nothing.
	Wait RequestKind = iota
	// Read gets the rows of the lease; it is answered by Lease.Read.
	Read
	// Write commits a transaction; it is answered by Lease.Committed.
	Write
)

// Request is what a Lease asks of the table. Every request but Wait is
// answered once, by Lease.Failed if it failed.
type Request struct {
	// Kind is the kind of the request.
	Kind RequestKind
	// Get is set for Read.
	Get *table.GetPayload
	// Commit is set for Write.
	Commit *table.CommitPayload
	// row is what a Write writes.
	row Row
}

// HandleRead takes in the rows that a read returned. Now is when they arrived.
// It returns ErrRow if a row is malformed and ErrTorn if the rows do not belong
// together; the read then counts as failed.
func (l *Lease) HandleRead(rows []*table.Row, now Instant) error {
	lease := find(rows, RowKey(l.terms.Name))
	fence := find(rows, FenceKey(l.terms.Name))
	row, err := parse(lease, fence)
	l.failed = err != nil
	if err != nil {
		return err
	}
	l.uncertain = false
	l.confirmed = l.asked
	l.fenceVersion = fence.Version
	l.observe(lease.Version, row, now)
	return nil
}

// parse returns the content of the lease row.
func parse(lease, fence *table.Row) (Row, error) {
	row, err := ParseRow(lease.Value)
	if err != nil {
		return Row{}, err
	}
	number, err := decode[Fence](fence.Value)
	if err != nil {
		return Row{}, err
	}
	if number.Fence != row.Fence {
		return Row{}, ErrTornRead
	}
	return row, nil
}

// HandleCommit takes in the rows that a write returned. Now is when they arrived.
func (l *Lease) HandleCommit(request Request, rows []*table.Row, now Instant) {
	l.failed, l.uncertain = false, false
	if fence := find(rows, FenceKey(l.terms.Name)); fence.Version > 0 {
		l.fenceVersion = fence.Version
	}
	l.observe(find(rows, RowKey(l.terms.Name)).Version, request.row, now)
}

// HandleFailure takes in that a request failed. After a write, the row is read before
// anything else is decided: the write may have taken effect, or somebody else
// has changed the row.
func (l *Lease) HandleFailure(request Request, err error) {
	conflict := platform.AsConflict(err) != nil
	l.failed = !conflict
	if request.Kind == Write && (conflict || !platform.HadNoEffect(err)) {
		l.uncertain = true
	}
}

// observe takes in the state of the row.
func (l *Lease) observe(version uint64, row Row, now Instant) {
	if !l.known || version != l.version {
		l.observed = now
	}
	l.known, l.version, l.row = true, version, row
}
