package ownrow

import (
	"bytes"
	"context"
	"crypto/sha256"
	"slices"
	"sync"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

const (
	// maxAttempts is the maximum number of commits of one write.
	maxAttempts = 4
	// maxSent is the number of latest values that a row recognizes as its own.
	maxSent = 256
	// maxUnanswered is the number of latest commits without an answer that are remembered.
	maxUnanswered = 64
)

// ErrContended is returned if the row changes again and again while it is written.
var ErrContended = merry.Sentinel("ownrow: the row changes while it is written")

// Row is a row of the table that belongs to one VM. Write and Delete must not be called
// concurrently; the other methods may be.
type Row struct {
	table table.Service
	key   string

	mu sync.Mutex // guards the fields below
	// version is the version of the row that this process last read or wrote, or 0 if there
	// was none.
	version uint64
	// sent has the digests of the latest values that this process has sent, at most maxSent.
	sent [][sha256.Size]byte
	// uncertain states that the latest commit was not answered, so that version may be outdated.
	uncertain bool
	// unanswered has the versions in the conditions of the latest commits without an answer,
	// at most maxUnanswered.
	unanswered []uint64
}

// New returns the row of t with the given key, which is not known to exist.
func New(t table.Service, key string) *Row { return &Row{table: t, key: key} }

// Key returns the key of the row.
func (r *Row) Key() string { return r.key }

// Version returns the version that the next write replaces, or 0 if it inserts the row.
func (r *Row) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Adopt records that the row was read with a version, so that the next write replaces it. An
// older version than a known one is ignored.
func (r *Row) Adopt(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = max(r.version, version)
}

// Read reads the row, which the next write replaces. It returns nil if there is none.
func (r *Row) Read(ctx context.Context) (*table.Row, error) {
	rows, err := r.table.Get(ctx, &table.GetPayload{Keys: []string{r.key}})
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uncertain = false
	if len(rows) == 0 {
		r.version = 0
		return nil, nil
	}
	r.version = rows[0].Version
	return rows[0], nil
}

// IsForeign reports whether a value is not one of the latest that this process has sent.
func (r *Row) IsForeign(value []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.Contains(r.sent, sha256.Sum256(value))
}

// Write writes the row. If another process has written it since this one last read or wrote
// it, nothing is written, and that row is returned: the next Write replaces it.
func (r *Row) Write(ctx context.Context, value []byte) (foreign *table.Row, err error) {
	return r.commit(ctx, &table.Write{Key: r.key, Value: value})
}

// Delete deletes the row, under the conditions of Write.
func (r *Row) Delete(ctx context.Context) (foreign *table.Row, err error) {
	return r.commit(ctx, &table.Write{Key: r.key, Delete: true})
}

// commit commits a write of the row.
func (r *Row) commit(ctx context.Context, write *table.Write) (foreign *table.Row, err error) {
	version, uncertain := r.startWrite(write)
	if uncertain { // a conflict would also hold up the writes that a collector joins with this one
		row, err := r.Read(ctx)
		switch {
		case err != nil:
			return nil, err
		case row == nil:
			version = 0
		case row.Version != version && r.IsForeign(row.Value):
			return row, nil
		default:
			version = row.Version
		}
	}
	if write.Delete && version == 0 {
		return nil, nil
	}
	for range maxAttempts {
		rows, err := r.table.Commit(ctx, &table.CommitPayload{
			Conditions: []*table.Condition{{Key: r.key, Version: version}}, Writes: []*table.Write{write},
		})
		conflict := platformapi.AsConflict(err)
		switch {
		case err == nil:
			written := r.setWritten(rows)
			if !r.isReissued(written) {
				return nil, nil
			}
			version = written
			continue
		case conflict == nil:
			r.recordUnanswered(version, err)
			return nil, err
		}
		current, err := r.current(ctx, conflict, version)
		if err != nil {
			return nil, err
		}
		version = current.Version
		switch {
		case version == 0 && write.Delete:
			return nil, nil
		case version == 0:
		case !write.Delete && bytes.Equal(current.Value, write.Value):
			return nil, nil // a commit without an answer has taken effect
		case r.IsForeign(current.Value):
			return current, nil
		}
	}
	return nil, ErrContended
}

// startWrite records a value that is about to be sent, and returns the version to replace and
// whether it may be outdated.
func (r *Row) startWrite(write *table.Write) (version uint64, uncertain bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !write.Delete {
		r.sent = append(r.sent, sha256.Sum256(write.Value))
		r.sent = r.sent[max(0, len(r.sent)-maxSent):]
	}
	return r.version, r.uncertain
}

// setWritten records the rows of a commit that took effect, and returns the version of the row,
// or 0 if it was deleted.
func (r *Row) setWritten(rows []*table.Row) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = 0
	for _, row := range rows {
		if row.Key == r.key {
			r.version = row.Version
		}
	}
	return r.version
}

// recordUnanswered records a commit that failed with err, if it may take effect later.
func (r *Row) recordUnanswered(version uint64, err error) {
	if platformapi.HadNoEffect(err) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uncertain = true
	r.unanswered = append(r.unanswered, version)
	r.unanswered = r.unanswered[max(0, len(r.unanswered)-maxUnanswered):]
}

// isReissued reports whether the row has got a version in which an unanswered commit of an
// earlier epoch expects it: after a restoration from a backup, the table gives versions out
// again. Writing the row once more gives it another one.
func (r *Row) isReissued(version uint64) bool {
	in, number := epoch.Split(version)
	r.mu.Lock()
	defer r.mu.Unlock()
	return version > 0 && slices.ContainsFunc(r.unanswered, func(expected uint64) bool {
		before, expectedNumber := epoch.Split(expected)
		return before < in && expectedNumber == number
	})
}

// current returns the row that made a commit with the given condition fail, with version 0 if
// there is none.
func (r *Row) current(ctx context.Context, conflict *table.Conflict, version uint64) (*table.Row, error) {
	for _, row := range conflict.Rows {
		// After a restoration from a backup, a conflict only tells that the version is of no use.
		if row.Key == r.key && (row.Version > 0 || version == 0) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.version = row.Version
			return row, nil
		}
	}
	row, err := r.Read(ctx)
	if row == nil {
		row = &table.Row{Key: r.key}
	}
	return row, err
}
