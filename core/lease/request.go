package lease

import (
	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"
)

// RequestKind is the kind of a Request.
type RequestKind int

const (
	// Wait means that there is nothing to do yet.
	Wait RequestKind = iota
	// Read reads the rows of the lease; pass its result to Lease.HandleRead.
	Read
	// Write commits a transaction; pass its result to Lease.HandleCommit.
	Write
)

// Request is a request of a Lease to the table. The result of every request except
// Wait must be passed to the Lease exactly once, to Lease.HandleFailure if the
// request failed.
type Request struct {
	// Kind is the kind of the request.
	Kind RequestKind
	// Get is set for Read.
	Get *table.GetPayload
	// Commit is set for Write.
	Commit *table.CommitPayload
	// row is the lease row that a Write writes.
	row Row
}

// HandleRead processes the rows that a Read returned. now is when they arrived. It
// returns ErrMalformedRow if a row cannot be decoded, and ErrTornRead if the lease
// changed hands between the reads of the two rows. In both cases the read counts
// as failed.
func (l *Lease) HandleRead(rows []*table.Row, now Instant) error {
	leaseRow := findRow(rows, RowKey(l.terms.Name))
	fenceRow := findRow(rows, FenceKey(l.terms.Name))
	row, err := l.parseRows(leaseRow, fenceRow)
	if answered, _ := epoch.Split(leaseRow.Version); err == nil && leaseRow.Version > 0 && answered < l.epoch {
		err = ErrOutdatedRead
	}
	l.lastFailed = err != nil
	if err != nil {
		return err
	}
	l.writeUncertain = false
	l.lastReadAt = l.requestedAt
	if changed := !l.rowKnown || leaseRow.Version != l.version; changed {
		l.confirming = !l.confirming
	}
	l.fenceVersion = fenceRow.Version
	l.setRow(leaseRow.Version, row, now)
	return nil
}

// parseRows returns the content of the lease row, after checking that both rows have the
// same fencing token. In a row of an earlier epoch, a late write may have replaced the token;
// the result then has the greater one.
func (l *Lease) parseRows(leaseRow, fenceRow *table.Row) (Row, error) {
	row, err := ParseRow(leaseRow.Value)
	if err != nil {
		return Row{}, err
	}
	fence, err := decode[Fence](fenceRow.Value)
	if err != nil {
		return Row{}, err
	}
	if row.Epoch < l.epoch {
		row.Fence = max(row.Fence, fence.Fence)
		return row, nil
	}
	if fence.Fence != row.Fence {
		return Row{}, ErrTornRead
	}
	return row, nil
}

// HandleCommit processes the rows that a Write returned. now is when they arrived.
func (l *Lease) HandleCommit(request Request, rows []*table.Row, now Instant) {
	l.lastFailed, l.writeUncertain = false, false
	if request.row.Epoch != l.epoch {
		l.writeUncertain = true // the table was restored meanwhile
		return
	}
	if request.row.Holder == l.terms.Holder {
		l.carried = nil
	}
	if fenceRow := findRow(rows, FenceKey(l.terms.Name)); fenceRow.Version > 0 {
		l.fenceVersion = fenceRow.Version
	}
	l.setRow(findRow(rows, RowKey(l.terms.Name)).Version, request.row, now)
}

// HandleFailure processes the failure of a request. After a Write that may have taken
// effect, or that conflicted with a write of another process, the row is read again
// before any other request.
func (l *Lease) HandleFailure(request Request, err error) {
	conflict := platformapi.AsConflict(err) != nil
	l.lastFailed = !conflict
	if request.Kind == Write && (conflict || !platformapi.HadNoEffect(err)) {
		l.writeUncertain = true
	}
}

// setRow stores the current state of the row. now is when it was seen.
func (l *Lease) setRow(version uint64, row Row, now Instant) {
	if !l.rowKnown || version != l.version {
		l.changedAt = now
	}
	l.rowKnown, l.version, l.row = true, version, row
	if version > 0 && row.Epoch == l.epoch {
		l.wasHolder = false
	}
}
