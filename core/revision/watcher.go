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

// maxFallback bounds how far Poll looks back for a revision that passes the
// check, when the newest one does not.
const maxFallback = 32

// Parse reads and checks the files of a revision. It returns the findings as
// its error.
type Parse func(files []config.File) (*config.Config, error)

// Source gives the revisions that the platform holds.
type Source interface {
	// Head returns the newest revision, or 0 if there is none.
	Head(ctx context.Context) (uint64, error)
	// Content returns the stored form of a revision.
	Content(ctx context.Context, revision uint64) ([]byte, error)
}

var _ Source = (*Store)(nil)

// Rejection is a revision that failed the check.
type Rejection struct {
	// Revision is the number of the revision; 0 means that none failed.
	Revision uint64
	// Err holds the findings.
	Err error
	// CheckedAt is when it was checked.
	CheckedAt time.Time
}

// Watcher holds the revision that a daemon has in force. The revision never
// goes back. It is safe for concurrent use, and Index and ConfirmedAt do not
// lock.
type Watcher struct {
	source    Source
	parse     Parse
	index     atomic.Pointer[config.Index]
	confirmed atomic.Pointer[time.Time]

	mu          sync.Mutex
	data        []byte
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

// ConfirmedAt returns when the platform last said that it has no newer revision
// than the one in force that passes the check. It is zero if it never did.
func (w *Watcher) ConfirmedAt() time.Time {
	if at := w.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Rejected returns the newest revision that failed the check and is newer than
// the one in force.
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

// Content returns the revision in force in its stored form, for a peer. It
// returns ErrNotFound if the revision in force is older than the one asked for.
func (w *Watcher) Content(get peer.ConfigRequest) (peer.ConfigContent, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision := w.Revision()
	if revision == 0 || revision < get.Revision {
		return peer.ConfigContent{}, merry.Wrap(ErrNotFound, merry.AppendMessagef("%d", get.Revision))
	}
	return peer.ConfigContent{Revision: revision, Data: w.data}, nil
}

// Subscribe returns a channel that gives the configuration in force whenever it
// has changed, and a function that ends the subscription. A reader that is slow
// misses all but the newest.
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

// Offer brings a revision into force at now if it is newer than the one in
// force and passes the check. It reports whether it did. It returns ErrRejected
// for a revision that fails the check, which is remembered, and ErrCorrupt for
// content that cannot be decoded, which may be offered again.
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
	w.bring(config.NewIndex(parsed, revision), data)
	return true, nil
}

// bring brings a configuration into force. The caller holds the lock.
func (w *Watcher) bring(index *config.Index, data []byte) {
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

// Poll asks the platform for the newest revision and brings it into force. If it
// fails the check, the newest one that passes is brought into force, unless it
// is older than the one in force. Poll reports whether the revision in force has
// changed. It returns ErrUnavailable, ErrCorrupt or ErrRejected; an older
// revision may have been brought into force together with ErrRejected.
func (w *Watcher) Poll(ctx context.Context, now time.Time) (bool, error) {
	head, err := w.source.Head(ctx)
	if err != nil {
		return false, err
	}
	changed, rejection, err := w.follow(ctx, head, now)
	if err != nil {
		return changed, err
	}
	if head != 0 && head >= w.Revision() {
		w.confirmed.Store(&now)
	}
	return changed, rejection
}

// follow brings the newest revision up to head into force that passes the
// check. It returns the rejection of the newest one that did not.
func (w *Watcher) follow(ctx context.Context, head uint64, now time.Time) (changed bool, rejection, err error) {
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

// fetch offers a revision of the platform, unless it was rejected before.
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

// rejection returns why a revision was rejected, or nil.
func (w *Watcher) rejection(revision uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rejected[revision].Err
}
