package neighbours

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/memory"
	"acaciapath.example/core/sleep"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// handOverPath is the path at which a daemon accepts writes of a neighbour that shuts
// down.
const handOverPath = "/handed-over"

// Limits of queued writes.
const (
	// maxQueuedWrites is the maximum number of queued writes. It allows for a few
	// from each VM of a failure domain that shuts down as a whole.
	maxQueuedWrites = 256
	// maxQueuedBytes is the maximum size of the bodies of queued writes, and of those that were
	// committed. A write has a few kilobytes of usage.
	maxQueuedBytes = 4 << 20
	// queueRetryInterval is the time between two attempts to send a write.
	queueRetryInterval = 400 * time.Millisecond
)

// errQueueFull is returned when the queue is full.
var errQueueFull = merry.Sentinel("neighbours: the queue of writes that were handed over is full")

// WriteQueue holds writes that were handed over by daemons which shut down while the
// store was unavailable, and sends them to the store. A write carries its own
// conditions and inserts rows that can be inserted only once, so that any daemon may
// send it, and more than once.
type WriteQueue struct {
	// Send sends a write to the store and returns the HTTP status of the answer.
	Send func(ctx context.Context, path string, body []byte) (int, error)
	// Adopt takes over a write whose conditions do not hold, so that what it was to
	// write is not lost. It returns an error if it cannot.
	Adopt func(path string, body []byte) error
	// TTL is how long a write is kept in the queue.
	TTL time.Duration
	// ShuttingDown reports whether the daemon itself is shutting down. It then
	// accepts no writes.
	ShuttingDown func() bool
	// Logger logs the outcomes of writes.
	Logger *logrus.Logger

	mu     sync.Mutex // guards the fields below
	writes []queuedWrite
	// committed are the latest writes that the store has committed, kept until they
	// expire, for the case that the store is restored from a copy.
	committed []queuedWrite
}

// queuedWrite is a write in the queue. It is dropped after expiresAt.
type queuedWrite struct {
	path      string
	body      []byte
	expiresAt time.Time
}

// totalBytes returns the size of the bodies of writes.
func totalBytes(writes []queuedWrite) int {
	n := 0
	for _, w := range writes {
		n += len(w.body)
	}
	return n
}

// Add appends a write to the queue. It returns an error if the queue is full.
func (q *WriteQueue) Add(path string, body []byte, now time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.writes) >= maxQueuedWrites || totalBytes(q.writes)+len(body) > maxQueuedBytes {
		return errQueueFull
	}
	q.writes = append(q.writes, queuedWrite{path: path, body: body, expiresAt: now.Add(q.TTL)})
	return nil
}

// HandleRestore queues the writes again that the store committed and may have lost, because
// it was restored from a copy. Their origins have exited.
func (q *WriteQueue) HandleRestore(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, queued := range q.committed {
		if len(q.writes) < maxQueuedWrites && !now.After(queued.expiresAt) {
			q.writes = append(q.writes, queued)
		}
	}
	q.committed = nil
}

// keepCommitted keeps a write that the store has committed.
func (q *WriteQueue) keepCommitted(queued queuedWrite, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.committed = slices.DeleteFunc(q.committed, func(w queuedWrite) bool { return now.After(w.expiresAt) })
	if len(q.committed) < maxQueuedWrites && totalBytes(q.committed)+len(queued.body) <= maxQueuedBytes {
		q.committed = append(q.committed, queued)
	}
}

// Run sends queued writes to the store until ctx is done.
func (q *WriteQueue) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, queueRetryInterval)
		for q.sendFirst(ctx) {
		}
	}
}

// Flush empties the queue when the daemon shuts down. It sends writes to the store, and
// once that fails it calls handOver for each of the others.
func (q *WriteQueue) Flush(ctx context.Context, handOver func(ctx context.Context, path string, body []byte) error) {
	for q.sendFirst(ctx) {
	}
	q.mu.Lock()
	remaining := q.writes
	q.writes = nil
	q.mu.Unlock()
	for _, queued := range remaining {
		if err := handOver(ctx, queued.path, queued.body); err != nil {
			q.Logger.WithError(err).Warn("cannot hand over a queued write, it is lost")
		}
	}
}

// sendFirst sends the first write of the queue. It removes the write if it succeeded, if
// its conditions failed, or if it failed otherwise and has expired, and reports whether it
// removed it.
func (q *WriteQueue) sendFirst(ctx context.Context) bool {
	q.mu.Lock()
	if len(q.writes) == 0 {
		q.mu.Unlock()
		return false
	}
	queued := q.writes[0]
	q.mu.Unlock()
	status, err := q.Send(ctx, queued.path, queued.body)
	entry := q.Logger.WithField("status", status)
	switch {
	case err == nil && status == http.StatusOK:
		entry.Info("write for a neighbour committed")
		q.keepCommitted(queued, time.Now())
	case err == nil && status == http.StatusPreconditionFailed:
		if err := q.Adopt(queued.path, queued.body); err != nil {
			entry.WithError(err).Warn("write for a neighbour dropped: its conditions do not hold, or it was committed before")
			break
		}
		entry.Info("write for a neighbour came too late or was committed before, its usage is counted in a later window if it is missing")
	case time.Now().After(queued.expiresAt):
		entry.WithError(err).Warn("write for a neighbour dropped: expired")
	default:
		return false
	}
	q.mu.Lock()
	q.writes = q.writes[1:]
	q.mu.Unlock()
	return true
}

// serve accepts a write from a neighbour.
func (q *WriteQueue) serve(w http.ResponseWriter, r *http.Request, budget *memory.Budget) {
	body := readBody(w, r, budget)
	if body == nil {
		return
	}
	defer body.Release()
	if q.ShuttingDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := q.Add(r.URL.Query().Get("path"), body.Bytes(), time.Now()); err != nil {
		q.Logger.WithError(err).Warn("write from a neighbour not accepted")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q.Logger.Info("write from a neighbour that shuts down accepted")
	w.WriteHeader(http.StatusOK)
}

// errNotAccepted is returned when a neighbour, or each neighbour that was asked, does not
// accept a write.
var errNotAccepted = merry.Sentinel("neighbours: write not accepted")

// answerByHandOver hands over a write to a neighbour, which sends it to the store
// later. The response is the one that the store gives to a committed write. If no
// neighbour can have accepted a write so far, it is sent to the store directly.
func (t *Transport) answerByHandOver(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	err = t.HandOverWrite(r.Context(), r.URL.Path, body)
	switch {
	case err == nil:
		return committedResponse(r), nil
	case t.handOverUncertain.Load():
		return nil, err
	}
	direct := r.Clone(r.Context())
	direct.Body = io.NopCloser(bytes.NewReader(body))
	return t.send(direct, detour.Direct)
}

// HandOverWrite hands over a write to a neighbour, which sends it to the store later. It
// returns an error if none of the neighbours that are asked accepts the write.
func (t *Transport) HandOverWrite(ctx context.Context, path string, body []byte) error {
	t.mu.Lock()
	candidates := t.selector.ShuffledNeighbours(t.random)
	t.mu.Unlock()
	for _, to := range candidates[:min(len(candidates), maxHandOverAttempts)] {
		err := t.handOverTo(ctx, to, path, body)
		if err == nil {
			t.Logger.WithField("neighbour", to).Info("write handed over to a neighbour")
			return nil
		}
		if !errors.Is(err, errNotAccepted) && !isDialError(err) {
			t.handOverUncertain.Store(true)
		}
		t.Logger.WithError(err).WithField("neighbour", to).Info("neighbour did not accept a write, asking the next one if there is one")
	}
	return errNotAccepted
}

// handOverTo hands over a write to one neighbour.
func (t *Transport) handOverTo(ctx context.Context, to, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	target := "http://" + to + handOverPath + "?path=" + url.QueryEscape(path)
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := t.Base.RoundTrip(out)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Wrap(errNotAccepted, merry.AppendMessagef("status %d", response.StatusCode))
	}
	return nil
}

// handOverTimeout bounds the call that hands over a write to one neighbour. It allows
// for several round trips between regions.
const handOverTimeout = 400 * time.Millisecond

// maxHandOverAttempts is the maximum number of neighbours that are asked to accept a
// write.
const maxHandOverAttempts = 6

// committedResponse returns the response of the store to a committed write.
func committedResponse(r *http.Request) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Request: r,
		Body: io.NopCloser(bytes.NewReader([]byte(`{}`))),
	}
}
