package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/usage"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// reportedKey is the key of the row that tells which usage windows were reported.
const reportedKey = "usage-reported"

// Intervals of writes of the row after the store was restored from a copy.
const (
	// minRewriteSpread and rewritePerDaemon give the time over which the daemons spread
	// their writes. One is enough.
	minRewriteSpread = 300 * time.Millisecond
	rewritePerDaemon = 25 * time.Millisecond
	// rewriteTimeout bounds a write.
	rewriteTimeout = 2 * time.Second
	// vouchTime is how long a daemon that does not know what was reported waits for others
	// to tell, besides the time over which they spread their writes. It allows for a read of
	// the row before and after.
	vouchTime = 1500 * time.Millisecond
)

// storedReported is the value of the row.
type storedReported struct {
	// First is the start of the first window that was ever announced, or zero if it is not
	// known.
	First time.Time `json:"first,omitzero"`
	// Through is the start of the last one, or zero if none was announced.
	Through time.Time `json:"through"`
	// Totals is the digest of the totals that were announced last, if they are known.
	Totals string `json:"totals,omitempty"`
	// Epoch is the epoch of the store in which a daemon vouched for it.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Reported knows the last usage window that was reported, or is about to be. All daemons
// follow it through a row of the store, so that some know it when the store is restored
// from a copy and its reporter is gone. It is safe for concurrent use. Its exported fields
// must not change once it is used.
type Reported struct {
	// Table stores the row.
	Table table.Service
	// Epoch returns the epoch of the store.
	Epoch func() uint64
	// Window is the length of usage windows.
	Window time.Duration
	// Daemons returns the number of daemons, or 0 if it is not known.
	Daemons func() int
	// Logger logs failed writes and invalid rows.
	Logger *logrus.Logger

	mu sync.Mutex // guards the fields below
	// last is the last announcement, and stored what the row has.
	last   usage.Announcement
	stored storedReported
	// followedAt is when the row was first read, in the epoch since, or zero.
	followedAt time.Time
	since      uint64
	rewriting  bool
	// waited states that vouchTime has passed since followedAt.
	waited bool
}

var _ usage.Reported = (*Reported)(nil)

// Last returns the announcement of the last window that may have been reported. known is
// false until it can be told. If the store was restored, and no daemon that followed the row
// before vouches for it within a while, these are all windows that had ended when this daemon
// began to follow it.
func (r *Reported) Last() (last usage.Announcement, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.Epoch()
	switch {
	case current <= epoch.First || r.livedBefore(current) || r.stored.Epoch == current:
		return r.last, true
	case !r.waited:
		return r.last, false
	}
	if ended := usage.WindowStart(r.followedAt.Add(-r.Window), r.Window); ended.After(r.last.Window) {
		return usage.Announcement{Window: ended}, true
	}
	return r.last, true
}

// livedBefore reports whether this daemon followed the row before an epoch. The caller holds
// r.mu.
func (r *Reported) livedBefore(current uint64) bool {
	return !r.followedAt.IsZero() && r.since < current
}

// Announce tells the other daemons that a window is about to be reported.
func (r *Reported) Announce(ctx context.Context, a usage.Announcement) error {
	r.mu.Lock()
	a = r.last.Extend(a)
	r.mu.Unlock()
	if err := r.write(ctx, a); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = r.last.Extend(a)
	return nil
}

// write writes the row.
func (r *Reported) write(ctx context.Context, a usage.Announcement) error {
	value, err := json.Marshal(storedReported{First: a.First.UTC(), Through: a.Window.UTC(), Totals: a.Totals, Epoch: r.Epoch()})
	if err != nil {
		return err
	}
	_, err = r.Table.Commit(ctx, &table.CommitPayload{Writes: []*table.Write{{Key: reportedKey, Value: value}}})
	return err
}

// Apply applies rows of the table. snapshot states that they are all rows. If the row is
// behind what this daemon knows, the store has lost it, and the daemon writes it again. now
// is the current time.
func (r *Reported) Apply(rows []platform.Row, snapshot bool, now time.Time) {
	var stored storedReported
	found := false
	for _, row := range rows {
		if row.Key != reportedKey || row.Deleted {
			continue
		}
		if err := json.Unmarshal(row.Data, &stored); err != nil {
			r.Logger.WithError(err).WithField("row", row.Key).Warn("invalid row of reported usage windows ignored")
			continue
		}
		found = true
	}
	if !found && !snapshot {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followedAt.IsZero() {
		r.followedAt, r.since = now, r.Epoch()
		time.AfterFunc(vouchTime+r.rewriteSpread(), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.waited = true
		})
	}
	r.stored = stored
	r.last = r.last.Merge(usage.Announcement{First: stored.First, Window: stored.Through, Totals: stored.Totals})
	if r.isBehind() && !r.rewriting {
		r.rewriting = true
		time.AfterFunc(rand.N(r.rewriteSpread()), r.rewrite)
	}
}

// rewriteSpread returns the time over which the daemons spread their writes.
func (r *Reported) rewriteSpread() time.Duration {
	return max(minRewriteSpread, time.Duration(r.Daemons())*rewritePerDaemon)
}

// isBehind reports whether the row lacks what this daemon knows, which may be that no window
// was announced. The caller holds r.mu.
func (r *Reported) isBehind() bool {
	current := r.Epoch()
	return r.stored.Through.Before(r.last.Window) || r.livedBefore(current) && r.stored.Epoch < current
}

// rewrite writes the row again unless another daemon has done so.
func (r *Reported) rewrite() {
	r.mu.Lock()
	last, behind := r.last, r.isBehind()
	r.rewriting = false
	r.mu.Unlock()
	if !behind {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rewriteTimeout)
	defer cancel()
	if err := r.write(ctx, last); err != nil {
		r.Logger.WithField("error", platformapi.Reason(err)).
			Info("cannot write again which usage windows were reported, another daemon or the next report will")
	}
}
