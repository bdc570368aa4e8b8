package usage

import (
	"context"
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
	maxPrunedWindows = maxDeletedRows / 2
)

// Prune deletes the rows of settled windows that are no longer needed, under the
// lease. It returns the number of windows pruned by this call; there may be more to
// prune. It returns ErrSuperseded if the lease has changed hands.
func (r *Reporter) Prune(ctx context.Context, now time.Time) (int, error) {
	rows, err := r.table.List(ctx, &table.ListPayload{Prefix: closedPrefix, Limit: maxPrunedWindows})
	if err != nil {
		return 0, merry.Prepend(err, "usage: list closed windows")
	}
	var writes []*table.Write
	for _, row := range rows {
		start, err := time.Parse(time.RFC3339, strings.TrimPrefix(row.Key, closedPrefix))
		if err != nil {
			return 0, merry.Wrap(ErrMalformedRow, merry.WithValue("key", row.Key), merry.WithCause(err))
		}
		if now.Sub(start) <= settledRetention {
			break // rows are sorted by the start of their window
		}
		writes = append(writes,
			&table.Write{Key: ClosedKey(start), Delete: true}, &table.Write{Key: WindowKey(start), Delete: true})
	}
	if len(writes) == 0 {
		return 0, nil
	}
	err = r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		_, err := r.table.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{grant.Condition()}, Writes: writes})
		return asSuperseded(err)
	})
	return len(writes) / 2, err
}
