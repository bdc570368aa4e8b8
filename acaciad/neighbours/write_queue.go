package neighbours

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"acaciapath.example/core/sleep"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// pathHanded is where a daemon that shuts down hands writes over.
const pathHanded = "/handed-over"

// Bounds of writes that were handed over.
const (
	// maxHanded is the most writes that a daemon takes: a few of each VM of a
	// failure domain that shuts down.
	maxHanded = 256
	// handedRetry is the time between two tries to carry a write out.
	handedRetry = 400 * time.Millisecond
)

// errFull is returned when too many writes wait already.
var errFull = merry.Sentinel("neighbours: too many writes that were handed over wait already")

// WriteQueue are writes of daemons that shut down while the store was away. A write
// carries its own conditions, and inserts rows that are inserted once, so that it
// may be carried out by anybody, and more than once.
type WriteQueue struct {
	// Send sends a write to the store. It returns the status of the answer.
	Send func(ctx context.Context, path string, body []byte) (int, error)
	// TTL is how long a write is of use.
	TTL time.Duration
	// ShuttingDown reports whether the daemon shuts down itself; it takes no writes
	// over then.
	ShuttingDown func() bool
	// Logger says what became of the writes.
	Logger *logrus.Logger

	mu     sync.Mutex
	writes []handedWrite
}

// handedWrite is a write that waits.
type handedWrite struct {
	path  string
	body  []byte
	until time.Time
}

// Add takes a write over. It returns an error if too many wait.
func (h *WriteQueue) Add(path string, body []byte, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.writes) >= maxHanded {
		return errFull
	}
	h.writes = append(h.writes, handedWrite{path: path, body: body, until: now.Add(h.TTL)})
	return nil
}

// Run carries the writes out until ctx ends.
func (h *WriteQueue) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, handedRetry)
		for h.one(ctx) {
		}
	}
}

// Flush carries all out, or hands it on by pass, at the end of the daemon.
func (h *WriteQueue) Flush(ctx context.Context, pass func(ctx context.Context, path string, body []byte) error) {
	for h.one(ctx) {
	}
	h.mu.Lock()
	left := h.writes
	h.writes = nil
	h.mu.Unlock()
	for _, write := range left {
		if err := pass(ctx, write.path, write.body); err != nil {
			h.Logger.WithError(err).Warn("a write that was handed over is lost with this process")
		}
	}
}

// one carries the first write out, and reports whether that was done.
func (h *WriteQueue) one(ctx context.Context) bool {
	h.mu.Lock()
	if len(h.writes) == 0 {
		h.mu.Unlock()
		return false
	}
	write := h.writes[0]
	h.mu.Unlock()
	status, err := h.Send(ctx, write.path, write.body)
	entry := h.Logger.WithField("status", status)
	switch {
	case err == nil && status == http.StatusOK:
		entry.Info("a write that was handed over is carried out")
	case err == nil && status == http.StatusPreconditionFailed:
		entry.Warn("a write that was handed over came too late, or was carried out before")
	case time.Now().After(write.until):
		entry.WithError(err).Warn("a write that was handed over is given up, its time is over")
	default:
		return false
	}
	h.mu.Lock()
	h.writes = h.writes[1:]
	h.mu.Unlock()
	return true
}

// serve takes a write over from a neighbour.
func (h *WriteQueue) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRelayed))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if h.ShuttingDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := h.Add(r.URL.Query().Get("path"), body, time.Now()); err != nil {
		h.Logger.WithError(err).Warn("a neighbour's write is not taken over")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Logger.Info("a neighbour that shuts down handed a write over")
	w.WriteHeader(http.StatusOK)
}

// errNobody is returned when no neighbour takes a write over.
var errNobody = merry.Sentinel("neighbours: no neighbour takes the write over")

// handOver gives a write to a neighbour, which carries it out later. The answer is
// that of the store to a write that was done.
func (t *Transport) handOver(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if err := t.HandOverWrite(r.Context(), r.URL.Path, body); err != nil {
		return nil, err
	}
	return done(r), nil
}

// HandOverWrite gives a write to a neighbour, which carries it out later.
func (t *Transport) HandOverWrite(ctx context.Context, path string, body []byte) error {
	t.mu.Lock()
	all := t.chooser.ShuffledNeighbours(t.random)
	t.mu.Unlock()
	for _, to := range all[:min(len(all), handOverTries)] {
		err := t.handTo(ctx, to, path, body)
		if err == nil {
			t.Logger.WithField("neighbour", to).Info("a write was handed over to a neighbour")
			return nil
		}
		t.Logger.WithError(err).WithField("neighbour", to).Info("a neighbour takes no write over")
	}
	return errNobody
}

// handTo gives a write to one neighbour.
func (t *Transport) handTo(ctx context.Context, to, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, handTimeout)
	defer cancel()
	target := "http://" + to + pathHanded + "?path=" + url.QueryEscape(path)
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
		return merry.Wrap(errNobody, merry.AppendMessagef("status %d", response.StatusCode))
	}
	return nil
}

// handTimeout bounds the handing over to one neighbour: some round trips between
// regions.
const handTimeout = 400 * time.Millisecond

// handOverTries is the number of neighbours that are asked to take a write over.
const handOverTries = 6

// done returns the store's answer to a write that was done.
func done(r *http.Request) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Request: r,
		Body: io.NopCloser(bytes.NewReader([]byte(`{}`))),
	}
}
