package neighbours

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/sleep"

	"github.com/sirupsen/logrus"
)

// Times of the registry.
const (
	// writeInterval is how often a daemon writes its row anew.
	writeInterval = time.Minute
	// keepTime is how long a row is believed that is not written anew.
	keepTime = 5 * time.Minute
	// readInterval is how often the rows of others are read: each daemon needs to
	// know some that live, and a few of them are replaced in an hour.
	readInterval = time.Minute
	// retryInterval is the time between two tries while the store does not
	// answer.
	retryInterval = time.Second
)

// maxNeighbours bounds the rows that are read at once: a few that can be asked
// are enough.
const maxNeighbours = 16

// prefix begins the keys of the rows, before failure domain and VM.
const prefix = "neighbour/"

// entry is the value of a row.
type entry struct {
	Address       string    `json:"address"`
	FailureDomain string    `json:"failure-domain"`
	Written       time.Time `json:"written"`
}

// Registry makes a daemon known to its neighbours, and them to it.
type Registry struct {
	// VM and FailureDomain are the daemon's, and Address where it passes calls on.
	VM, FailureDomain, Address string
	// Table holds the rows.
	Table table.Service
	// OnUpdate is told the neighbours.
	OnUpdate func([]detour.Neighbour)
	// Logger logs which neighbours are known.
	Logger *logrus.Logger
	// Random spreads the reads of all daemons.
	Random *rand.Rand

	known int
}

func (r *Registry) key() string { return prefix + r.FailureDomain + "/" + r.VM }

// Run writes the daemon's row and reads those of others until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	var written, read time.Time
	for ctx.Err() == nil {
		now := time.Now()
		wait := retryInterval
		if now.Sub(written) >= writeInterval && r.write(ctx, now) {
			written = now
		}
		if now.Sub(read) >= readInterval && r.read(ctx, now) {
			// The first reads come before all others have started.
			if read.IsZero() || r.known == 0 {
				read = now.Add(firstRead - readInterval)
			} else {
				read = now.Add(time.Duration(r.Random.Int64N(int64(readInterval / 2))))
			}
		}
		sleep.For(ctx, wait)
	}
}

// firstRead is the time from the first read to the next: all daemons of a system
// that starts have written their rows by then.
const firstRead = 3 * time.Second

func (r *Registry) write(ctx context.Context, now time.Time) bool {
	value, err := json.Marshal(entry{Address: r.Address, FailureDomain: r.FailureDomain, Written: now})
	if err == nil {
		_, err = r.Table.Commit(ctx, &table.CommitPayload{Writes: []*table.Write{{Key: r.key(), Value: value}}})
	}
	if err != nil {
		r.Logger.WithField("error", platform.Reason(err)).Info("this VM is not known to its neighbours yet")
	}
	return err == nil
}

// Remove removes the daemon's row when it shuts down.
func (r *Registry) Remove(ctx context.Context) {
	if _, err := r.Table.Commit(ctx, &table.CommitPayload{Writes: []*table.Write{{Key: r.key(), Delete: true}}}); err != nil {
		r.Logger.WithField("error", platform.Reason(err)).Info("the row of this VM stays and grows old")
	}
}

// read reads the rows of the own failure domain, or of any if there are none.
func (r *Registry) read(ctx context.Context, now time.Time) bool {
	var found []detour.Neighbour
	for _, from := range []string{prefix + r.FailureDomain + "/", prefix} {
		rows, err := r.Table.List(ctx, &table.ListPayload{Prefix: from, Limit: maxNeighbours})
		if err != nil {
			r.Logger.WithField("error", platform.Reason(err)).Info("neighbours are not read")
			return false
		}
		if found = r.others(rows, now); len(found) > 0 {
			break
		}
	}
	if len(found) != r.known {
		r.known = len(found)
		r.Logger.WithField("neighbours", len(found)).Info("neighbours that can pass calls of the store on")
	}
	r.OnUpdate(found)
	return true
}

// others returns the neighbours of rows that are young enough, without the daemon
// itself.
func (r *Registry) others(rows []*table.Row, now time.Time) []detour.Neighbour {
	var found []detour.Neighbour
	for _, row := range rows {
		if strings.HasSuffix(row.Key, "/"+r.VM) {
			continue
		}
		var e entry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			r.Logger.WithError(err).WithField("row", row.Key).Warn("row of a neighbour left out")
			continue
		}
		if now.Sub(e.Written) < keepTime {
			found = append(found, detour.Neighbour{Address: e.Address, FailureDomain: e.FailureDomain})
		}
	}
	return found
}
