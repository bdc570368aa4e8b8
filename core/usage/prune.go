package usage

import (
	"context"
	"strings"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"

	"github.com/ansel1/merry/v2"
)

// Ages of windows.
const (
	// maxPartAge is the age of a window beyond which no part is written into it.
	maxPartAge = time.Hour
	// keepSettled is how long the rows of a settled window are kept. It is longer
	// than maxEmpty, for which windows may still be reported, and than any part
	// may take to arrive.
	keepSettled = maxEmpty + 2*maxPartAge
	// pruneWindows is the number of windows whose rows are deleted at once.
	pruneWindows = deleteRows / 2
)

// Prune deletes the rows of settled windows that nobody needs any more, in the
// name of the lease. It returns the number of windows; there may be more.
func (r *Reporter) Prune(ctx context.Context, now time.Time) (int, error) {
	rows, err := r.table.List(ctx, &table.ListPayload{Prefix: closedPrefix, Limit: pruneWindows})
	if err != nil {
		return 0, merry.Prepend(err, "usage: list closed windows")
	}
	var writes []*table.Write
	for _, row := range rows {
		start, err := time.Parse(time.RFC3339, strings.TrimPrefix(row.Key, closedPrefix))
		if err != nil {
			return 0, merry.Wrap(ErrMalformedRow, merry.WithValue("key", row.Key), merry.WithCause(err))
		}
		if now.Sub(start) <= keepSettled {
			break // rows are in the order of their windows
		}
		writes = append(writes,
			&table.Write{Key: ClosedKey(start), Delete: true}, &table.Write{Key: WindowKey(start), Delete: true})
	}
	if len(writes) == 0 {
		return 0, nil
	}
	err = r.sender.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		_, err := r.table.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{grant.Condition()}, Writes: writes})
		return superseded(err)
	})
	return len(writes) / 2, err
}
