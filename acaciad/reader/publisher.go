package reader

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"acaciapath.example/core/follow"

	"github.com/sirupsen/logrus"
)

// Path is the path at which a reader serves its followers.
const Path = "/news"

// writeTimeout bounds the write of one message to a follower. A follower that does not
// read would otherwise keep the stream open for ever.
const writeTimeout = 2 * time.Second

// joinTimeout is how long a follower waits for this daemon to start reading the table:
// it may have found out sooner that the former reader is gone, or may have started
// at the same time.
const joinTimeout = 400 * time.Millisecond

// maxFollowers is the maximum number of followers of one table.
const maxFollowers = 512

// maxSharedAge is how long one encoded message is sent to several followers as if it
// were new.
const maxSharedAge = 100 * time.Millisecond

// Publisher passes on the news of one table. It is safe for concurrent use.
type Publisher struct {
	mu  sync.Mutex // guards the fields below
	log follow.Log
	// reading states that the daemon reads the table for followers.
	reading bool
	// updatedAt is when the latest news arrived, and restored and storeTime are their fields
	// Restored and StoreTime.
	updatedAt time.Time
	restored  bool
	storeTime time.Duration
	// failing states that the store has not answered since.
	failing bool
	// shared is the message that was encoded last, for followers of version
	// sharedAfter. It is nil after an update.
	shared      []byte
	sharedAfter uint64
	// changed is closed and replaced at each update, and when reading ends.
	changed   chan struct{}
	followers int
}

// NewPublisher returns a publisher that refuses followers until Record is called for news
// that the daemon has read itself.
func NewPublisher() *Publisher { return &Publisher{changed: make(chan struct{})} }

// Record adds news that arrived at now. reading states that this daemon has read them
// from the store, and serves followers.
func (p *Publisher) Record(news follow.News, reading bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.Apply(news)
	p.reading, p.updatedAt, p.restored, p.failing, p.shared = reading, now, news.Restored, false, nil
	p.storeTime = news.StoreTime
	p.notify()
}

// MarkFailing tells followers that the store does not answer. They stay until the news
// are too old for them.
func (p *Publisher) MarkFailing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading && !p.failing {
		p.failing, p.shared = true, nil
		p.notify()
	}
}

// Stop ends the streams of all followers, because the daemon does not read the table
// any more.
func (p *Publisher) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading {
		p.reading = false
		p.notify()
	}
}

// Reading reports whether the publisher serves followers.
func (p *Publisher) Reading() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reading
}

// Followers returns the number of followers.
func (p *Publisher) Followers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.followers
}

// notify wakes the streams. The caller holds p.mu.
func (p *Publisher) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// join adds a follower that has the news up to a version, and reports whether the
// publisher serves it. It waits for that until ctx is done. A follower that was added
// must be removed with leave.
func (p *Publisher) join(ctx context.Context, after uint64) bool {
	for {
		joined, changed := p.tryJoin(after)
		if joined {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// tryJoin adds a follower if the publisher serves it, and otherwise returns a channel
// that is closed when that may have changed.
func (p *Publisher) tryJoin(after uint64) (joined bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reading || p.followers >= maxFollowers || after > p.log.Version() {
		return false, p.changed
	}
	p.followers++
	return true, nil
}

// leave removes a follower.
func (p *Publisher) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers--
}

// next returns the message for a follower that has the news up to a version, the
// version that it has then, and a channel that is closed when there is another message.
// ok is false if the stream ends.
func (p *Publisher) next(after uint64, now time.Time) (line []byte, version uint64, changed <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newsAge := follow.Age(p.updatedAt, now)
	if p.reading && p.shared != nil && p.sharedAfter == after && newsAge < maxSharedAge {
		return p.shared, p.log.Version(), p.changed, true
	}
	news, known := p.log.Since(after)
	if !p.reading || !known {
		return nil, after, nil, false
	}
	news.Restored, news.Failing, news.StoreTime = p.restored, p.failing, p.storeTime
	line, err := encode(news, newsAge)
	if err != nil {
		return nil, after, nil, false // cannot happen: a message has only texts, bytes and numbers
	}
	if newsAge < maxSharedAge {
		p.shared, p.sharedAfter = line, after
	}
	return line, news.Version, p.changed, true
}

// Handler serves the followers of several tables.
type Handler struct {
	// Publishers has the publisher of each table.
	Publishers map[string]*Publisher
	// Logger logs refused followers.
	Logger *logrus.Logger
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP streams the news of a table.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	table := r.URL.Query().Get("table")
	publisher := h.Publishers[table]
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	switch {
	case publisher == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case !h.join(r.Context(), publisher, after):
		h.Logger.WithFields(logrus.Fields{"table": table, "after": after, "follower": r.RemoteAddr}).
			Debug("follower refused: this daemon does not read the table or is behind")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer publisher.leave()
	stream(w, r, publisher, after)
}

// join adds a follower to a publisher, for which it waits at most joinTimeout.
func (h *Handler) join(ctx context.Context, publisher *Publisher, after uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return publisher.join(ctx, after)
}

// stream sends messages until the follower leaves or the publisher stops.
func stream(w http.ResponseWriter, r *http.Request, publisher *Publisher, after uint64) {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	for {
		line, version, changed, ok := publisher.next(after, time.Now())
		if !ok || controller.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := w.Write(line); err != nil || controller.Flush() != nil {
			return // the follower has left
		}
		after = version
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
