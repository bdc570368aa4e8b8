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
	// maxAnnounceAttempts is the number of attempts to write an announcement while others
	// write the row.
	maxAnnounceAttempts = 3
	// maxSilence is the time without an answer of the store after which a daemon may have
	// missed all announcements.
	maxSilence = 4 * time.Second
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
//
// Only the holder of the lease announces windows, so that it knows exactly which were
// announced when the store was restored. Any other daemon may have missed the last
// announcement. It knows exactly only if that cannot be: the next window had not ended.
type Reported struct {
	// Table stores the row.
	Table table.Service
	// Epoch returns the epoch of the store.
	Epoch func() uint64
	// Fence returns the fence of the lease of usage reports, or 0 if another daemon may hold
	// it (lease.Keeper.ExclusiveFence).
	Fence func() uint64
	// AnsweredSince reports whether the store has answered this daemon after a time.
	AnsweredSince func(after time.Time) bool
	// Window is the length of usage windows.
	Window time.Duration
	// Daemons returns the number of daemons, or 0 if it is not known.
	Daemons func() int
	// Logger logs failed writes and invalid rows, and what is taken for reported.
	Logger *logrus.Logger

	mu sync.Mutex // guards the fields below
	// last is the last announcement, and stored what the row has at storedVersion.
	last          usage.Announcement
	stored        storedReported
	storedVersion uint64
	// readFence is the fence of the lease under which the row was last read or written.
	readFence uint64
	// since is the epoch that this daemon has observed, and ended the start of the last
	// window that had ended by then.
	since uint64
	ended time.Time
	// exact states that last is the last announcement before since.
	exact bool
	// waited states that vouchTime has passed since the epoch was observed. Unless this daemon
	// knows by then what was announced before, last covers all windows up to ended.
	waited    bool
	following bool
	rewriting bool
}

var _ usage.Reported = (*Reported)(nil)

// Last returns the announcement of the last window that may have been reported. known is
// false until it can be told. If the store was restored, and no daemon that knows exactly
// vouches for it within a while, these are at least all windows that had ended when this daemon
// observed that.
func (r *Reported) Last() (last usage.Announcement, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.Epoch()
	switch {
	case !r.wasRestoredLocked(current):
		return r.last, true
	case r.since < current:
		return r.last, false
	case r.knowsLocked():
		return r.last, true
	}
	return r.last, r.waited
}

// knowsLocked reports whether last covers all windows that were announced before the epoch
// that was observed. The caller holds r.mu.
func (r *Reported) knowsLocked() bool { return r.exact || r.stored.Epoch == r.since }

// wasRestoredLocked reports whether the store is known to have been restored from a copy: the epoch is
// a later one than the first, or the row was written in an earlier one, since epochs may begin with 0.
// The caller holds r.mu.
func (r *Reported) wasRestoredLocked(current uint64) bool {
	return current > epoch.First || r.storedVersion > 0 && r.stored.Epoch < current
}

// HandleRestore records that the store was restored from a copy.
func (r *Reported) HandleRestore(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fence := r.Fence()
	// Without this, the holder knows what it announced itself, but not what was announced before.
	covered := !r.wasRestoredLocked(r.since) || r.knowsLocked() || r.waited
	r.observeLocked(now)
	r.exact = r.following && (covered && fence != 0 && fence == r.readFence || !r.ended.After(r.last.Window))
	r.Logger.WithFields(logrus.Fields{
		"epoch": r.since, "reported-through": usage.FormatWindowStart(r.last.Window),
		"ended-through": usage.FormatWindowStart(r.ended), "exact": r.exact,
	}).Info("reported usage windows before the restoration")
	switch {
	case r.exact:
		r.scheduleRewriteLocked(fence != 0)
	case r.following && r.last.Window.IsZero() && r.AnsweredSince(now.Add(-maxSilence)):
		observed := r.since
		time.AfterFunc(vouchTime/2, func() { r.vouchForNone(observed) })
	}
}

// vouchForNone has this daemon vouch that no window was ever announced, unless another daemon
// knows exactly. It was in touch until shortly before, so that it can have missed only the very first
// announcement. Otherwise all usage since the start would be lost.
func (r *Reported) vouchForNone(observed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since != observed || r.knowsLocked() || !r.last.Window.IsZero() {
		return
	}
	r.Logger.WithField("epoch", r.since).Info("no usage window was announced before the restoration, as far as this daemon heard")
	r.exact = true
	r.scheduleRewriteLocked(false)
}

// observeLocked records the epoch of the store. The caller holds r.mu.
func (r *Reported) observeLocked(now time.Time) {
	r.since, r.ended = r.Epoch(), usage.WindowStart(now.Add(-r.Window), r.Window)
	r.exact, r.waited = false, false
	observed := r.since
	time.AfterFunc(vouchTime+r.rewriteSpread(), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.since != observed {
			return
		}
		r.waited = true
		if r.wasRestoredLocked(r.since) && !r.knowsLocked() {
			r.last = r.last.Merge(usage.Announcement{Window: r.ended})
			r.Logger.WithFields(logrus.Fields{"epoch": r.since, "ended-through": usage.FormatWindowStart(r.ended)}).
				Warn("no daemon knows which usage windows were reported before the restoration, taking all that had ended for reported")
		}
	})
}

// Learn reads the row if this daemon has not done so since it acquired the lease. Nobody else
// announces windows while it holds it.
func (r *Reported) Learn(ctx context.Context) error {
	fence := r.Fence()
	r.mu.Lock()
	known := fence == 0 || fence == r.readFence
	r.mu.Unlock()
	if known {
		return nil
	}
	return r.read(ctx, fence)
}

// read reads the row under a fence.
func (r *Reported) read(ctx context.Context, fence uint64) error {
	rows, err := r.Table.Get(ctx, &table.GetPayload{Keys: []string{reportedKey}})
	if err != nil {
		return err
	}
	var stored storedReported
	version := uint64(0)
	for _, row := range rows {
		stored, _ = r.parse(row.Value) // the holder replaces an invalid row
		version = row.Version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeLocked(stored, version)
	r.readFence = fence
	return nil
}

// parse parses the row, and logs one that is invalid.
func (r *Reported) parse(value []byte) (stored storedReported, ok bool) {
	if err := json.Unmarshal(value, &stored); err != nil {
		r.Logger.WithError(err).WithField("row", reportedKey).Warn("invalid row of reported usage windows ignored")
		return storedReported{}, false
	}
	return stored, true
}

// mergeLocked takes over what the row has at a version. The caller holds r.mu.
func (r *Reported) mergeLocked(stored storedReported, version uint64) {
	r.stored, r.storedVersion = stored, version
	r.last = r.last.Merge(usage.Announcement{First: stored.First, Window: stored.Through, Totals: stored.Totals})
}

// Announce tells the other daemons that a window is about to be reported.
func (r *Reported) Announce(ctx context.Context, a usage.Announcement) error {
	var err error
	for range maxAnnounceAttempts {
		if err = r.read(ctx, r.Fence()); err != nil {
			return err
		}
		r.mu.Lock()
		extended, version := r.last.Extend(a), r.storedVersion
		r.mu.Unlock()
		if err = r.write(ctx, extended, r.Epoch(), version); platformapi.AsConflict(err) == nil {
			return err
		}
	}
	return err
}

// write writes the row if it still has the given version. known is the epoch up to which a
// covers all windows that were announced before.
func (r *Reported) write(ctx context.Context, a usage.Announcement, known, version uint64) error {
	stored := storedReported{First: a.First.UTC(), Through: a.Window.UTC(), Totals: a.Totals, Epoch: known}
	value, err := json.Marshal(stored)
	if err != nil {
		return err
	}
	rows, err := r.Table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: reportedKey, Version: version}},
		Writes:     []*table.Write{{Key: reportedKey, Value: value}},
	})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = r.last.Extend(a)
	for _, row := range rows {
		if row.Key == reportedKey {
			r.stored, r.storedVersion = stored, row.Version
		}
	}
	return nil
}

// Apply applies rows of the table. snapshot states that they are all rows. If the row is
// behind what this daemon knows, the store has lost it, and the daemon writes it again. now
// is the current time.
func (r *Reported) Apply(rows []platform.Row, snapshot bool, now time.Time) {
	var stored storedReported
	version, found := uint64(0), false
	for _, row := range rows {
		if row.Key != reportedKey || row.Deleted {
			continue
		}
		if parsed, ok := r.parse(row.Data); ok {
			stored, version, found = parsed, row.Version, true
		}
	}
	if !found && !snapshot {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.following {
		r.following = true
		r.observeLocked(now)
	}
	if found && version < r.storedVersion {
		return // read before this daemon's own write
	}
	r.mergeLocked(stored, version)
	r.scheduleRewriteLocked(false)
}

// scheduleRewriteLocked schedules a write of the row if it is behind. The caller holds r.mu.
func (r *Reported) scheduleRewriteLocked(urgent bool) {
	if !r.isBehindLocked() || r.rewriting {
		return
	}
	r.rewriting = true
	delay := time.Duration(0)
	if !urgent {
		delay = rand.N(r.rewriteSpread())
	}
	time.AfterFunc(delay, r.rewrite)
}

// rewriteSpread returns the time over which the daemons spread their writes.
func (r *Reported) rewriteSpread() time.Duration {
	return max(minRewriteSpread, time.Duration(r.Daemons())*rewritePerDaemon)
}

// isBehindLocked reports whether the row lacks what this daemon knows, which may be that no
// window was announced. The caller holds r.mu.
func (r *Reported) isBehindLocked() bool {
	return r.stored.Through.Before(r.last.Window) || r.exact && r.stored.Epoch < r.since
}

// rewrite writes the row again unless another daemon has done so.
func (r *Reported) rewrite() {
	r.mu.Lock()
	behind := r.isBehindLocked()
	r.rewriting = behind
	r.mu.Unlock()
	if !behind {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rewriteTimeout)
	defer cancel()
	err := r.read(ctx, r.Fence())
	r.mu.Lock()
	last, version, known := r.last, r.storedVersion, r.stored.Epoch
	behind = r.isBehindLocked()
	if r.exact {
		known = r.since
	}
	r.rewriting = false
	r.mu.Unlock()
	if err == nil && behind {
		err = r.write(ctx, last, known, version)
	}
	if err != nil {
		r.Logger.WithField("error", platformapi.Reason(err)).
			Info("cannot write again which usage windows were reported, another daemon or the next report will")
		time.AfterFunc(rewriteTimeout, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.scheduleRewriteLocked(false)
		})
	}
}
