package neighbours

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/follow"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/ownrow"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/sleep"

	"github.com/sirupsen/logrus"
)

// Intervals of the registry.
const (
	// heartbeatInterval is how often a daemon renews its row.
	heartbeatInterval = 4 * time.Minute
	// entryTTL is the time after which a row that is not renewed expires.
	entryTTL = 15 * time.Minute
	// readInterval and smallReadInterval are how often the rows of other daemons are read
	// in failure domains of at least follow.MinMembers daemons and in smaller ones. A
	// daemon needs to know some neighbours that are alive, and only a few are replaced per
	// hour.
	readInterval      = 4 * time.Minute
	smallReadInterval = time.Minute
	// MaxReadInterval is the longest time between two reads that succeed.
	MaxReadInterval = readInterval + readInterval/2
	// minReadInterval is the least time between two reads that Refresh asks for.
	minReadInterval = 8 * time.Second
	// checkInterval is how often the registry checks whether a write or a read is due.
	checkInterval = time.Second
	// lookUpSpread is the time over which the daemons look whether the store still has their
	// rows, after it was restored from a copy or they were restarted.
	lookUpSpread = 2 * time.Second
	// lateWriteTime is how long writes of an earlier process may take effect after a restart.
	lateWriteTime = 7 * time.Second
	// retryInterval is the time between two attempts while the store does not answer. A
	// daemon that knows no neighbours tries every checkInterval.
	retryInterval = 5 * time.Second
)

// maxNeighbours is the maximum number of neighbours that calls are sent through, since
// a few are enough.
const maxNeighbours = 16

// maxRows is the maximum number of rows that are read at a time.
const maxRows = 500

// keyPrefix is the prefix of the keys of rows. The failure domain and the VM follow.
const keyPrefix = "neighbour/"

// entry is the stored value of a row.
type entry struct {
	Address       string    `json:"address"`
	Cores         float64   `json:"cores,omitempty"`
	FailureDomain string    `json:"failure-domain"`
	Written       time.Time `json:"written"`
}

// Registry announces a daemon to its neighbours and finds them, through rows in the
// store.
type Registry struct {
	// VM and FailureDomain are those of the daemon, and Address is where it relays
	// calls of the store.
	VM, FailureDomain, Address string
	// Cores is the share of a processor core that the VM has.
	Cores float64
	// ColdStart states that all daemons start now, so that most rows are written only
	// a moment after this daemon starts.
	ColdStart bool
	// Table stores the rows.
	Table table.Service
	// OnUpdate is called with the neighbours after each read.
	OnUpdate func([]detour.Neighbour)
	// OnDistant is called with some daemons of each other failure domain after each read, if it
	// is set.
	OnDistant func([]detour.Neighbour)
	// OnMembers is called with the daemons of the failure domain, including this one,
	// after each read.
	OnMembers func([]follow.Member)
	// Logger logs the number of neighbours and failures.
	Logger *logrus.Logger
	// Random spreads the reads of the daemons over time.
	Random *rand.Rand

	// row is the row of this daemon, or nil before it is used.
	row *ownrow.Row
	// knownCount is the number of known neighbours, and readCount that of reads so far.
	knownCount, readCount int

	refresh, restored atomic.Bool
}

// HandleRestore has the daemon's row written again soon if the store lacks it, because the
// store was restored from a copy.
func (r *Registry) HandleRestore() { r.restored.Store(true) }

// Refresh asks for another read of the rows, because the list of members is outdated.
func (r *Registry) Refresh() { r.refresh.Store(true) }

// rowKey returns the key of the daemon's row.
func (r *Registry) rowKey() string { return keyPrefix + r.FailureDomain + "/" + r.VM }

// ownRow returns the daemon's row.
func (r *Registry) ownRow() *ownrow.Row {
	if r.row == nil {
		r.row = ownrow.New(r.Table, r.rowKey())
	}
	return r.row
}

// Run renews the daemon's row and reads those of other daemons until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	var nextWrite, nextRead, lastRead, lookUp time.Time
	if !r.ColdStart {
		// Without this, the first write would fail where the row of an earlier process is left, and with
		// it those that a collector has joined with it.
		_, _ = r.ownRow().Read(ctx) // the first write tells as well
		lookUp = time.Now().Add(lateWriteTime + time.Duration(r.Random.Int64N(int64(lookUpSpread))))
	}
	for ctx.Err() == nil {
		if r.restored.Swap(false) {
			lookUp = time.Now().Add(time.Duration(r.Random.Int64N(int64(lookUpSpread))))
		}
		if now := time.Now(); !lookUp.IsZero() && !now.Before(lookUp) {
			lookUp = time.Time{}
			if !r.isStored(ctx) {
				nextWrite = now
			}
		}
		if now := time.Now(); !now.Before(nextWrite) {
			first := nextWrite.IsZero()
			nextWrite = now.Add(checkInterval)
			if !first {
				nextWrite = now.Add(retryInterval)
			}
			if r.write(ctx, now) {
				nextWrite = now.Add(heartbeatInterval)
			}
			if first && r.ColdStart {
				sleep.For(ctx, coldStartDelay)
			}
		}
		now := time.Now()
		if refresh := r.refresh.Load() && now.Sub(lastRead) >= minReadInterval; refresh || !now.Before(nextRead) {
			lastRead, nextRead = now, now.Add(r.read(ctx, now))
		}
		sleep.For(ctx, checkInterval)
	}
}

const (
	// coldStartDelay is the time from the write of the daemon's row to the first read if
	// all daemons start together. The others have written their rows by then.
	coldStartDelay = 900 * time.Millisecond
	// firstReadInterval is the time between reads while no neighbours are known, and between
	// the first two reads of a small failure domain, whose daemons may start together.
	firstReadInterval = 3 * time.Second
)

// isStored reports whether the store is known to have the row as this daemon wrote it.
func (r *Registry) isStored(ctx context.Context) bool {
	version := r.ownRow().Version()
	row, err := r.ownRow().Read(ctx)
	if err != nil {
		r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot look up the neighbour row of this VM, writing it again")
		return false
	}
	return row != nil && (row.Version <= version || !r.ownRow().IsForeign(row.Value))
}

// write writes the daemon's row and reports whether that succeeded.
func (r *Registry) write(ctx context.Context, now time.Time) bool {
	value, err := json.Marshal(entry{Address: r.Address, Cores: r.Cores, FailureDomain: r.FailureDomain, Written: now})
	var foreign *table.Row
	if err == nil {
		foreign, err = r.ownRow().Write(ctx, value)
	}
	if foreign != nil { // the row is that of an earlier process, and no longer true
		_, err = r.ownRow().Write(ctx, value)
	}
	if err != nil {
		r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot write the neighbour row of this VM, will retry")
	}
	return err == nil
}

// Remove deletes the daemon's row when the daemon shuts down, unless another process of this VM
// has written it. Run must have returned.
func (r *Registry) Remove(ctx context.Context) {
	if _, err := r.ownRow().Delete(ctx); err != nil {
		r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot delete the neighbour row of this VM, it will expire")
	}
}

// read reads the rows and returns the time until the next read.
func (r *Registry) read(ctx context.Context, now time.Time) time.Duration {
	rows, err := r.Table.List(ctx, &table.ListPayload{Prefix: keyPrefix, Limit: maxRows})
	near := rowsOf(rows, keyPrefix+r.FailureDomain+"/")
	if err == nil && len(rows) == maxRows { // there may be more
		near, err = r.Table.List(ctx, &table.ListPayload{Prefix: keyPrefix + r.FailureDomain + "/", Limit: maxRows})
	}
	if err != nil {
		r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot read neighbour rows, will retry")
		if r.knownCount == 0 {
			return checkInterval
		}
		return retryInterval
	}
	neighbours, members := r.parseRows(near, now)
	r.OnMembers(members)
	if len(neighbours) == 0 {
		neighbours, _ = r.parseRows(rows, now)
	}
	r.Random.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
	neighbours = neighbours[:min(len(neighbours), maxNeighbours)]
	if len(neighbours) != r.knownCount {
		r.knownCount = len(neighbours)
		r.Logger.WithField("neighbours", len(neighbours)).Info("number of known neighbours changed")
	}
	r.OnUpdate(neighbours)
	if r.OnDistant != nil {
		r.OnDistant(r.distant(rows, now))
	}
	r.refresh.Store(false)
	r.readCount++
	interval := readInterval
	switch few := r.knownCount < follow.MinMembers; {
	case r.knownCount == 0, few && r.readCount == 1:
		return firstReadInterval
	case few:
		interval = smallReadInterval
	}
	return interval + time.Duration(r.Random.Int64N(int64(interval/2)))
}

// rowsOf returns the rows whose keys have a prefix.
func rowsOf(rows []*table.Row, prefix string) []*table.Row {
	var found []*table.Row
	for _, row := range rows {
		if strings.HasPrefix(row.Key, prefix) {
			found = append(found, row)
		}
	}
	return found
}

// parseRows returns the daemons in rows that have not expired: as neighbours, without
// this daemon itself, and as members.
func (r *Registry) parseRows(rows []*table.Row, now time.Time) (neighbours []detour.Neighbour, members []follow.Member) {
	for _, row := range rows {
		var e entry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			r.Logger.WithError(err).WithField("row", row.Key).Warn("invalid neighbour row ignored")
			continue
		}
		if now.Sub(e.Written) >= entryTTL {
			continue
		}
		vm := row.Key[strings.LastIndex(row.Key, "/")+1:]
		members = append(members, follow.Member{VM: vm, Address: e.Address, Cores: e.Cores})
		if vm != r.VM {
			neighbours = append(neighbours, detour.Neighbour{Address: e.Address, FailureDomain: e.FailureDomain})
		}
	}
	return neighbours, members
}
