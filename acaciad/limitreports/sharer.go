package limitreports

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// Intervals of writes.
const (
	// minSpread and spreadPerDaemon give the time over which the daemons spread their
	// writes. Many get answers of the same server at once, and one row is enough.
	minSpread       = 300 * time.Millisecond
	spreadPerDaemon = 10 * time.Millisecond
	// refreshInterval is how often the row of a limit is renewed while the server names
	// it.
	refreshInterval = 20 * time.Second
	// retryInterval is the time from a failed write to the next attempt.
	retryInterval = 2 * time.Second
	// writeTimeout bounds a write.
	writeTimeout = 2 * time.Second
)

// maxWrites is the maximum number of rows that are written in one transaction. The store accepts
// 100 conditions and writes together.
const maxWrites = 50

// keyPrefix is the prefix of the keys of rows. The instance of a server follows.
const keyPrefix = "limit/"

// storedLimit is the value of a row.
type storedLimit struct {
	PerSecond float64 `json:"per-second"`
	NamedMS   int64   `json:"named-ms"`
}

// limit is the latest that is known from the table, or that is to be written to it.
type limit struct {
	perSecond float64
	named     time.Time
	ended     bool
	// version is the version of the row, or 0 if it is not written yet.
	version uint64
}

// Sharer exchanges the limits of backend servers with other daemons. It is safe for
// concurrent use. Its exported fields must not change once it is used.
type Sharer struct {
	// Table stores the rows.
	Table table.Service
	// Memory is how long a limit is remembered without news.
	Memory time.Duration
	// Daemons returns the number of daemons, or 0 if it is not known.
	Daemons func() int
	// Learn is called with a limit that another daemon reports, and Forget if the server
	// names none any more.
	Learn  func(instance string, perSecond float64, named time.Time)
	Forget func(instance string)
	// Logger logs failed writes and invalid rows.
	Logger *logrus.Logger

	wake chan struct{}

	mu      sync.Mutex // guards the fields below
	rows    map[string]limit
	pending map[string]limit
	// versions are the versions of the rows in the table, also of those that cannot be read.
	versions map[string]uint64
	// due is when the pending limits are to be written, or zero.
	due time.Time
}

// NewSharer returns a sharer that knows no limits, whose exported fields must be set before
// use.
func NewSharer() *Sharer {
	return &Sharer{wake: make(chan struct{}, 1), rows: make(map[string]limit), pending: make(map[string]limit), versions: make(map[string]uint64)}
}

// Record records that a server named a limit in an answer.
func (s *Sharer) Record(instance string, perSecond float64, now time.Time) {
	now = now.Round(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if row, ok := s.rows[instance]; ok && row.perSecond == perSecond && now.Sub(row.named) < refreshInterval {
		return
	}
	s.scheduleLocked(instance, limit{perSecond: perSecond, named: now}, now)
}

// End records that a server names no limit any more.
func (s *Sharer) End(instance string, now time.Time) {
	now = now.Round(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, instance)
	if _, ok := s.rows[instance]; ok {
		s.scheduleLocked(instance, limit{ended: true, named: now}, now)
	}
}

// scheduleLocked schedules the write of a limit. The caller holds s.mu.
func (s *Sharer) scheduleLocked(instance string, l limit, now time.Time) {
	s.pending[instance] = l
	if s.due.IsZero() {
		s.due = now.Add(s.spread())
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// spread returns a random part of the time over which the daemons spread their writes.
func (s *Sharer) spread() time.Duration {
	return time.Duration(rand.Int64N(int64(max(minSpread, time.Duration(s.Daemons())*spreadPerDaemon))))
}

// Run writes rows until ctx is done.
func (s *Sharer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		due := s.due
		s.mu.Unlock()
		var timer <-chan time.Time
		if !due.IsZero() {
			timer = time.After(max(time.Until(due), 0))
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-timer:
			s.flush(ctx)
		}
	}
}

// flush writes the pending limits that the table does not have yet.
func (s *Sharer) flush(ctx context.Context) {
	now := time.Now().Round(0)
	commit, written := s.takePending(now)
	if len(written) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rows, err := s.Table.Commit(ctx, commit)
	var version uint64
	if len(rows) > 0 {
		version = rows[0].Version
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for instance, l := range written {
		_, newer := s.pending[instance]
		switch {
		case err != nil && !newer:
			s.pending[instance] = l
		case err == nil && l.ended:
			delete(s.rows, instance)
			delete(s.versions, instance)
			s.Forget(instance)
		case err == nil:
			l.version = version
			s.rows[instance], s.versions[instance] = l, version
		}
	}
	if conflict := platformapi.AsConflict(err); conflict != nil {
		s.learnConflictLocked(conflict, now)
		return
	}
	if err != nil {
		s.due = now.Add(retryInterval + s.spread())
		s.Logger.WithFields(logrus.Fields{"servers": len(written), "error": platformapi.Reason(err)}).
			Info("cannot report the limits of backend servers, will retry")
	}
}

// learnConflictLocked applies the rows that other daemons have written meanwhile, and has those
// limits written that are still to be. The caller holds s.mu.
func (s *Sharer) learnConflictLocked(conflict *table.Conflict, now time.Time) {
	for _, row := range conflict.Rows {
		instance := strings.TrimPrefix(row.Key, keyPrefix)
		if row.Version == 0 { // deleted, or the store was restored from a copy since
			delete(s.versions, instance)
			continue
		}
		s.applyLocked(instance, platform.Row{Key: row.Key, Data: row.Value, Version: row.Version}, false, now)
	}
	s.due = now.Add(s.spread())
}

// takePending takes the pending limits, as many as one transaction holds. Each row is written
// under the condition that it is as this daemon knows it.
func (s *Sharer) takePending(now time.Time) (*table.CommitPayload, map[string]limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	commit := &table.CommitPayload{}
	written := make(map[string]limit)
	s.due = time.Time{}
	for instance, l := range s.pending {
		if len(written) == maxWrites {
			s.due = now
			break
		}
		delete(s.pending, instance)
		row, known := s.rows[instance]
		if l.ended && !known || !l.ended && known && row.perSecond == l.perSecond && now.Sub(row.named) < refreshInterval {
			continue // another daemon wrote it meanwhile
		}
		if known && row.named.After(l.named) {
			continue // another daemon learned it later
		}
		write := &table.Write{Key: keyPrefix + instance, Delete: l.ended}
		if !l.ended {
			value, err := json.Marshal(storedLimit{PerSecond: l.perSecond, NamedMS: l.named.UnixMilli()})
			if err != nil {
				s.Logger.WithError(err).WithField("backend-server", instance).Warn("limit of a backend server cannot be encoded, not reported")
				continue
			}
			write.Value = value
		}
		commit.Conditions = append(commit.Conditions, &table.Condition{Key: write.Key, Version: s.versions[instance]})
		commit.Writes = append(commit.Writes, write)
		written[instance] = l
	}
	return commit, written
}

// Apply applies rows of the table. snapshot states that they are all rows as of a version
// of the store.
func (s *Sharer) Apply(rows []platform.Row, snapshot bool, version uint64) {
	now := time.Now().Round(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool)
	for _, row := range rows {
		instance, ok := strings.CutPrefix(row.Key, keyPrefix)
		if !ok {
			continue
		}
		seen[instance] = true
		s.applyLocked(instance, row, snapshot, now)
	}
	if !snapshot {
		return
	}
	current, _ := epoch.Split(version)
	for instance, row := range s.rows {
		if row.version > version || seen[instance] {
			continue
		}
		delete(s.rows, instance)
		delete(s.versions, instance)
		if written, _ := epoch.Split(row.version); written < current && now.Sub(row.named) < s.Memory {
			// The store was restored from a copy without the row.
			row.version = 0
			s.scheduleLocked(instance, row, now)
			continue
		}
		s.Forget(instance)
	}
}

// applyLocked applies the row of a server, unless a later one is known. The caller holds
// s.mu.
func (s *Sharer) applyLocked(instance string, row platform.Row, snapshot bool, now time.Time) {
	if row.Version < s.versions[instance] {
		return
	}
	s.versions[instance] = row.Version
	if row.Deleted {
		delete(s.versions, instance)
		delete(s.rows, instance)
		s.Forget(instance)
		return
	}
	var stored storedLimit
	if err := json.Unmarshal(row.Data, &stored); err != nil || stored.PerSecond < 0 || stored.NamedMS <= 0 {
		s.Logger.WithError(err).WithField("row", row.Key).Warn("invalid limit of a backend server ignored")
		return
	}
	named := time.UnixMilli(stored.NamedMS)
	if named.After(now) {
		named = now // the clock of the other VM is ahead
	}
	s.rows[instance] = limit{perSecond: stored.PerSecond, named: named, version: row.Version}
	if now.Sub(named) < s.Memory {
		s.Learn(instance, stored.PerSecond, named)
		return
	}
	if snapshot {
		s.scheduleLocked(instance, limit{ended: true, named: now}, now)
	}
}
