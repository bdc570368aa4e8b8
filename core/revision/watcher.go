package revision

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/peer"

	"github.com/ansel1/merry/v2"
)

// maxFallback is the number of newest revisions among which Poll looks for one
// that passes the check.
const maxFallback = 32

// Parse reads and checks the files of a revision. It returns the findings as
// its error.
type Parse func(files []config.File) (*config.Config, error)

// Source reads the revisions that are stored in the platform.
type Source interface {
	// Head returns the newest revision, or 0 if there is none.
	Head(ctx context.Context) (uint64, error)
	// Content returns the stored form of a revision.
	Content(ctx context.Context, revision uint64) ([]byte, error)
}

var _ Source = (*Store)(nil)

// Rejection describes a revision that failed the check.
type Rejection struct {
	// Revision is the number of the revision; 0 means that none failed.
	Revision uint64
	// Err is ErrRejected and wraps the findings.
	Err error
	// CheckedAt is when the revision was checked.
	CheckedAt time.Time
}

// Watcher holds the revision that a daemon has in force, which never goes back to
// an older one. It is safe for concurrent use. Index, Revision and ConfirmedAt do
// not lock.
type Watcher struct {
	source      Source
	parse       Parse
	index       atomic.Pointer[config.Index]
	confirmedAt atomic.Pointer[time.Time]

	mu sync.Mutex
	// data is the stored form of the revision in force.
	data []byte
	// rejected holds the rejected revisions that are newer than the one in force.
	rejected    map[uint64]Rejection
	subscribers map[chan *config.Index]struct{}
}

// NewWatcher returns a watcher that has no revision in force.
func NewWatcher(source Source, parse Parse) *Watcher {
	return &Watcher{
		source:      source,
		parse:       parse,
		rejected:    make(map[uint64]Rejection),
		subscribers: make(map[chan *config.Index]struct{}),
	}
}

// Index returns the configuration in force, or nil if there is none.
func (w *Watcher) Index() *config.Index { return w.index.Load() }

// Revision returns the revision in force, or 0 if there is none.
func (w *Watcher) Revision() uint64 {
	if index := w.index.Load(); index != nil {
		return index.Revision
	}
	return 0
}

// ConfirmedAt returns when a poll of the platform last confirmed that no newer
// revision passes the check. It is zero if none ever did.
func (w *Watcher) ConfirmedAt() time.Time {
	if at := w.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Rejected returns the newest revision that failed the check and is newer than the
// one in force, or a zero Rejection.
func (w *Watcher) Rejected() Rejection {
	w.mu.Lock()
	defer w.mu.Unlock()
	var newest Rejection
	for _, r := range w.rejected {
		if r.Revision > newest.Revision {
			newest = r
		}
	}
	return newest
}

// Content returns the stored form of the revision in force, for a peer. It returns
// ErrNotFound if none is in force or it is older than the requested one.
func (w *Watcher) Content(request peer.ConfigRequest) (peer.ConfigContent, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision := w.Revision()
	if revision == 0 || revision < request.Revision {
		return peer.ConfigContent{}, merry.Wrap(ErrNotFound, merry.AppendMessagef("%d", request.Revision))
	}
	return peer.ConfigContent{Revision: revision, Data: w.data}, nil
}

// Subscribe returns a channel that receives the configuration in force whenever it
// has changed, and a function that ends the subscription. A slow reader misses all
// but the newest configuration.
func (w *Watcher) Subscribe() (changes <-chan *config.Index, cancel func()) {
	subscriber := make(chan *config.Index, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers[subscriber] = struct{}{}
	return subscriber, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.subscribers, subscriber)
	}
}

// Offer puts a revision into force if it is newer than the one in force and passes
// the check, and reports whether it did. It returns ErrRejected for a revision
// that fails the check; it keeps the rejection and does not check that revision
// again. It returns ErrCorrupt or ErrTooLarge for content that cannot be decoded;
// the same revision can then be offered again with other content.
func (w *Watcher) Offer(revision uint64, data []byte, now time.Time) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision <= w.Revision() {
		return false, nil
	}
	if r, ok := w.rejected[revision]; ok {
		return false, r.Err
	}
	files, err := Unpack(data)
	if err != nil {
		return false, err
	}
	parsed, err := w.parse(files)
	if err != nil {
		err = merry.Wrap(ErrRejected, merry.AppendMessage(err.Error()), merry.WithCause(err))
		w.rejected[revision] = Rejection{Revision: revision, Err: err, CheckedAt: now}
		return false, err
	}
	w.setInForce(config.NewIndex(parsed, revision), data)
	return true, nil
}

// setInForce puts a configuration into force and sends it to the subscribers. The
// caller holds the lock.
func (w *Watcher) setInForce(index *config.Index, data []byte) {
	w.data = data
	w.index.Store(index)
	maps.DeleteFunc(w.rejected, func(revision uint64, _ Rejection) bool {
		return revision <= index.Revision
	})
	for subscriber := range w.subscribers {
		select {
		case <-subscriber:
		default:
		}
		subscriber <- index
	}
}

// Poll reads the newest revision from the platform and puts it into force. If that
// revision fails the check, Poll puts the newest one that passes into force,
// unless it is older than the one in force. Poll reports whether the revision in
// force has changed. It returns ErrUnavailable, ErrNotFound, ErrCorrupt,
// ErrTooLarge or ErrRejected. Together with ErrRejected, an older revision may
// have been put into force.
func (w *Watcher) Poll(ctx context.Context, now time.Time) (bool, error) {
	head, err := w.source.Head(ctx)
	if err != nil {
		return false, err
	}
	changed, rejection, err := w.catchUp(ctx, head, now)
	if err != nil {
		return changed, err
	}
	if head != 0 && head >= w.Revision() {
		w.confirmedAt.Store(&now)
	}
	return changed, rejection
}

// catchUp puts into force the newest revision up to head that passes the check.
// rejection is the error of the newest revision that failed it, or nil.
func (w *Watcher) catchUp(ctx context.Context, head uint64, now time.Time) (changed bool, rejection, err error) {
	last := w.Revision()
	if head > maxFallback {
		last = max(last, head-maxFallback)
	}
	for revision := head; revision > last; revision-- {
		changed, err := w.fetch(ctx, revision, now)
		if !errors.Is(err, ErrRejected) {
			return changed, rejection, err
		}
		if rejection == nil {
			rejection = err
		}
	}
	return false, rejection, nil
}

// fetch reads a revision from the platform and offers it. If the revision was
// rejected before, fetch returns that rejection instead.
func (w *Watcher) fetch(ctx context.Context, revision uint64, now time.Time) (bool, error) {
	if err := w.rejection(revision); err != nil {
		return false, err
	}
	data, err := w.source.Content(ctx, revision)
	if err != nil {
		return false, err
	}
	return w.Offer(revision, data, now)
}

// rejection returns the error with which a revision was rejected, or nil.
func (w *Watcher) rejection(revision uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rejected[revision].Err
}
