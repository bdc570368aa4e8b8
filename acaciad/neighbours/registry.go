package neighbours

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/sleep"

	"github.com/sirupsen/logrus"
)

// Intervals of the registry.
const (
	// heartbeatInterval is how often a daemon renews its row.
	heartbeatInterval = time.Minute
	// entryTTL is the time after which a row that is not renewed expires.
	entryTTL = 5 * time.Minute
	// readInterval is how often the rows of other daemons are read. A daemon needs to
	// know some neighbours that are alive, and only a few are replaced per hour.
	readInterval = time.Minute
	// retryInterval is how often the registry checks whether a write or a read is due.
	// While the store does not answer, it is the time between two attempts.
	retryInterval = time.Second
)

// maxNeighbours is the maximum number of rows that are read, since a few neighbours
// are enough.
const maxNeighbours = 16

// keyPrefix is the prefix of the keys of rows. The failure domain and the VM follow.
const keyPrefix = "neighbour/"

// entry is the stored value of a row.
type entry struct {
	Address       string    `json:"address"`
	FailureDomain string    `json:"failure-domain"`
	Written       time.Time `json:"written"`
}

// Registry announces a daemon to its neighbours and finds them, through rows in the
// store.
type Registry struct {
	// VM and FailureDomain are those of the daemon, and Address is where it relays
	// calls of the store.
	VM, FailureDomain, Address string
	// Table stores the rows.
	Table table.Service
	// OnUpdate is called with the neighbours after each read.
	OnUpdate func([]detour.Neighbour)
	// Logger logs the number of neighbours and failures.
	Logger *logrus.Logger
	// Random spreads the reads of the daemons over time.
	Random *rand.Rand

	knownCount int
}

// rowKey returns the key of the daemon's row.
func (r *Registry) rowKey() string { return keyPrefix + r.FailureDomain + "/" + r.VM }

// Run renews the daemon's row and reads those of other daemons until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	var lastWrite, lastRead time.Time
	for ctx.Err() == nil {
		now := time.Now()
		pollDelay := retryInterval
		if now.Sub(lastWrite) >= heartbeatInterval && r.write(ctx, now) {
			lastWrite = now
		}
		if now.Sub(lastRead) >= readInterval && r.read(ctx, now) {
			// The first reads may happen before the other daemons have started.
			if lastRead.IsZero() || r.knownCount == 0 {
				lastRead = now.Add(firstReadInterval - readInterval)
			} else {
				lastRead = now.Add(time.Duration(r.Random.Int64N(int64(readInterval / 2))))
			}
		}
		sleep.For(ctx, pollDelay)
	}
}

// firstReadInterval is the time between reads at the start and while no neighbours are
// known. If all daemons start together, the others have written their rows by then.
const firstReadInterval = 3 * time.Second

// write writes the daemon's row and reports whether that succeeded.
func (r *Registry) write(ctx context.Context, now time.Time) bool {
	value, err := json.Marshal(entry{Address: r.Address, FailureDomain: r.FailureDomain, Written: now})
	if err == nil {
		_, err = r.Table.Commit(ctx, &table.CommitPayload{Writes: []*table.Write{{Key: r.rowKey(), Value: value}}})
	}
	if err != nil {
		r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot write the neighbour row of this VM, will retry")
	}
	return err == nil
}

// Remove deletes the daemon's row when the daemon shuts down.
func (r *Registry) Remove(ctx context.Context) {
	if _, err := r.Table.Commit(ctx, &table.CommitPayload{Writes: []*table.Write{{Key: r.rowKey(), Delete: true}}}); err != nil {
		r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot delete the neighbour row of this VM, it will expire")
	}
}

// read reads the rows of the daemon's failure domain, or of all if there are none, and
// reports whether that succeeded.
func (r *Registry) read(ctx context.Context, now time.Time) bool {
	var neighbours []detour.Neighbour
	for _, rowPrefix := range []string{keyPrefix + r.FailureDomain + "/", keyPrefix} {
		rows, err := r.Table.List(ctx, &table.ListPayload{Prefix: rowPrefix, Limit: maxNeighbours})
		if err != nil {
			r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot read neighbour rows, will retry")
			return false
		}
		if neighbours = r.parseNeighbours(rows, now); len(neighbours) > 0 {
			break
		}
	}
	if len(neighbours) != r.knownCount {
		r.knownCount = len(neighbours)
		r.Logger.WithField("neighbours", len(neighbours)).Info("number of known neighbours changed")
	}
	r.OnUpdate(neighbours)
	return true
}

// parseNeighbours returns the neighbours in rows that have not expired, without the
// daemon itself.
func (r *Registry) parseNeighbours(rows []*table.Row, now time.Time) []detour.Neighbour {
	var neighbours []detour.Neighbour
	for _, row := range rows {
		if strings.HasSuffix(row.Key, "/"+r.VM) {
			continue
		}
		var e entry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			r.Logger.WithError(err).WithField("row", row.Key).Warn("invalid neighbour row ignored")
			continue
		}
		if now.Sub(e.Written) < entryTTL {
			neighbours = append(neighbours, detour.Neighbour{Address: e.Address, FailureDomain: e.FailureDomain})
		}
	}
	return neighbours
}
