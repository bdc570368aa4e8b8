package usage

import (
	"context"
	"slices"
	"strings"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"

	"github.com/ansel1/merry/v2"
)

const (
	// maxPartAge is how long after the start of a window parts are still written
	// into it. A longer window accepts them until its end.
	maxPartAge = time.Hour
	// settledRetention is how long after its start the rows of a settled window
	// are kept. It is longer than maxEmptyAge, during which the window may still be
	// reported, and than the time that any part can take to arrive.
	settledRetention = maxEmptyAge + 2*maxPartAge
	// maxPrunedWindows is the maximum number of windows pruned in one transaction.
	// Each has two rows.
	maxPrunedWindows = maxDeletedRows / 4
	// maxPrunedMarks is the maximum number of marks of adopted parts pruned in one
	// transaction, and of rows of totals that did not fit into one.
	maxPrunedMarks = maxDeletedRows / 4
)

// Prune deletes the rows of settled windows and the marks of adopted parts that are no
// longer needed, under the lease. It returns the number of windows pruned by this call;
// there may be more to prune. It returns ErrSuperseded if the lease has changed hands.
func (r *Reporter) Prune(ctx context.Context, now time.Time) (int, error) {
	closed, err := r.expiredKeys(ctx, closedPrefix, maxPrunedWindows, now)
	if err != nil {
		return 0, merry.Prepend(err, "usage: list closed windows")
	}
	marks, err := r.expiredKeys(ctx, adoptedPrefix, maxPrunedMarks, now)
	if err != nil {
		return 0, merry.Prepend(err, "usage: list marks of adopted parts")
	}
	splits, err := r.expiredKeys(ctx, splitPrefix, maxPrunedMarks, now)
	if err != nil {
		return 0, merry.Prepend(err, "usage: list rows of large windows")
	}
	var writes []*table.Write
	for _, key := range closed {
		writes = append(writes, &table.Write{Key: key, Delete: true},
			&table.Write{Key: windowPrefix + strings.TrimPrefix(key, closedPrefix), Delete: true})
	}
	for _, key := range slices.Concat(marks, splits) {
		writes = append(writes, &table.Write{Key: key, Delete: true})
	}
	if len(writes) == 0 {
		return 0, nil
	}
	err = r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		_, err := r.table.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{grant.Condition()}, Writes: writes})
		return asSuperseded(err)
	})
	return len(closed), err
}

// expiredKeys returns at most limit keys with a prefix, which the start of a window
// follows, whose window started more than settledRetention before now.
func (r *Reporter) expiredKeys(ctx context.Context, prefix string, limit int, now time.Time) ([]string, error) {
	rows, err := r.table.List(ctx, &table.ListPayload{Prefix: prefix, Limit: limit})
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, row := range rows {
		window, _, _ := strings.Cut(strings.TrimPrefix(row.Key, prefix), "/")
		start, err := time.Parse(time.RFC3339, window)
		if err != nil {
			return nil, merry.Wrap(ErrMalformedRow, merry.WithValue("key", row.Key), merry.WithCause(err))
		}
		if now.Sub(start) <= settledRetention {
			break // rows are sorted by the start of their window
		}
		keys = append(keys, row.Key)
	}
	return keys, nil
}
