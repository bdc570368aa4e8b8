package neighbours

import (
	"context"
	"io"
	"net/http"
	"time"

	"acaciapath.example/core/batch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/memory"
	"acaciapath.example/core/platformapi"

	"github.com/sirupsen/logrus"
)

// collectedPath is the path at which a daemon accepts writes of its neighbours, to commit
// them together.
const collectedPath = "/collected"

// Limits of a collector.
const (
	// collectDelay is how long a write waits for others to be committed with it. Parts of
	// a usage window are written by all daemons within about this time.
	collectDelay = 150 * time.Millisecond
	// maxCollected is the maximum number of writes that wait.
	maxCollected = 1024
	// commitTimeout bounds a transaction of a collector, so that neighbours are told that the
	// store does not answer before their own calls time out (collectTimeout).
	commitTimeout = 500 * time.Millisecond
)

// Collector commits writes of neighbours together.
type Collector struct {
	// Table commits the writes. It must reach the store directly, so that writes are
	// not passed on in a circle.
	Table table.Service
	// Parse decodes a write, and Conflict encodes a rejection.
	Parse    func(body []byte) (*table.CommitPayload, error)
	Conflict func(conflict *table.Conflict) ([]byte, error)
	// Logger logs rejected batches.
	Logger *logrus.Logger

	queue chan *collected
}

// collected is a write that waits for its result.
type collected struct {
	commit *table.CommitPayload
	// result receives one value: nil if the write was committed.
	result chan error
}

// NewCollector returns a collector, whose exported fields must be set before Run.
func NewCollector() *Collector { return &Collector{queue: make(chan *collected, maxCollected)} }

// Run commits writes until ctx is done.
func (c *Collector) Run(ctx context.Context) {
	for {
		var waiting []*collected
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			waiting = append(waiting, first)
		}
		for timer := time.After(collectDelay); timer != nil; {
			select {
			case next := <-c.queue:
				waiting = append(waiting, next)
			case <-timer:
				timer = nil
			}
		}
		for len(waiting) > 0 {
			waiting = waiting[c.commitFirst(ctx, waiting):]
		}
	}
}

// commitFirst commits as many of the first writes as one transaction holds, and returns
// their number. If the store rejects the transaction, those whose conditions do not hold
// are told so, and the others are committed without them.
func (c *Collector) commitFirst(ctx context.Context, waiting []*collected) int {
	merged, n := batch.Merge(commitsOf(waiting))
	for rest := waiting[:n]; len(rest) > 0; {
		err := c.commit(ctx, merged)
		conflict := platformapi.AsConflict(err)
		if conflict == nil || len(rest) == 1 {
			for _, w := range rest {
				w.result <- err
			}
			return n
		}
		before := len(rest)
		rest = rejectConflicting(rest, conflict)
		c.Logger.WithFields(logrus.Fields{"writes": before, "rejected": before - len(rest), "error": platformapi.Reason(err)}).
			Info("writes of neighbours rejected together, committing those without conflicts")
		if len(rest) == before {
			c.commitAlone(ctx, rest)
			return n
		}
		if len(rest) > 0 {
			merged, _ = batch.Merge(commitsOf(rest))
		}
	}
	return n
}

// rejectConflicting tells the writers whose conditions do not hold, and returns the other
// writes.
func rejectConflicting(writes []*collected, conflict *table.Conflict) []*collected {
	var rest []*collected
	for i, own := range batch.Split(commitsOf(writes), conflict) {
		if own != nil {
			writes[i].result <- own
			continue
		}
		rest = append(rest, writes[i])
	}
	return rest
}

// commitAlone commits each write alone, because the store does not tell which of them it
// rejects.
func (c *Collector) commitAlone(ctx context.Context, writes []*collected) {
	for _, w := range writes {
		w.result <- c.commit(ctx, w.commit)
	}
}

// commitsOf returns the commits of writes.
func commitsOf(writes []*collected) []*table.CommitPayload {
	commits := make([]*table.CommitPayload, len(writes))
	for i, w := range writes {
		commits[i] = w.commit
	}
	return commits
}

// commit commits a transaction within commitTimeout.
func (c *Collector) commit(ctx context.Context, transaction *table.CommitPayload) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := c.Table.Commit(ctx, transaction)
	return err
}

// serve accepts a write and answers like the store. It answers 503 if the store has
// refused the write, 504 if the outcome is unknown, and 429 if too many writes wait.
func (c *Collector) serve(w http.ResponseWriter, r *http.Request, budget *memory.Budget) {
	body := readBody(w, r, budget)
	if body == nil {
		return
	}
	defer body.Release() // after the commit, which is about as large
	commit, err := c.Parse(body.Bytes())
	if err != nil {
		c.Logger.WithError(err).Warn("invalid write of a neighbour refused")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	write := &collected{commit: commit, result: make(chan error, 1)}
	select {
	case c.queue <- write:
	default:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	select {
	case err = <-write.result:
	case <-r.Context().Done():
		return
	}
	switch conflict := platformapi.AsConflict(err); {
	case err == nil:
		_, _ = io.WriteString(w, "{}") // the neighbour asks the store if the answer is lost
	case conflict != nil:
		c.reject(w, conflict)
	case platformapi.HadNoEffect(err):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// reject answers that a condition of the write does not hold.
func (c *Collector) reject(w http.ResponseWriter, conflict *table.Conflict) {
	body, err := c.Conflict(conflict)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	_, _ = w.Write(body) // the neighbour sends the write again if the answer is lost
}
