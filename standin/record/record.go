package record

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
)

// DefaultLimit is the default maximum number of entries in a Log.
const DefaultLimit = 500_000

// Page is a part of a log. It is the response of Log.ServeHTTP.
type Page[T any] struct {
	// First is the index of the first entry of the page. Indexes count from 0 and
	// include dropped entries.
	First int `json:"first"`
	// Dropped is the number of entries that the log has dropped.
	Dropped int `json:"dropped"`
	// Entries are the entries, oldest first.
	Entries []T `json:"entries"`
}

// Log keeps entries in the order in which they were added. It is safe for
// concurrent use.
type Log[T any] struct {
	mu      sync.Mutex
	limit   int
	dropped int
	entries []T
}

// New returns an empty log that keeps at most limit entries. When a full log gets
// a new entry, it drops the older half of its entries. A limit of 0 means
// DefaultLimit.
func New[T any](limit int) *Log[T] {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Log[T]{limit: limit}
}

// Add adds an entry.
func (l *Log[T]) Add(entry T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= l.limit {
		drop := (l.limit + 1) / 2
		l.entries = slices.Delete(l.entries, 0, drop)
		l.dropped += drop
	}
	l.entries = append(l.entries, entry)
}

// Entries returns the entries that have not been dropped, oldest first.
func (l *Log[T]) Entries() []T { return l.Page(0).Entries }

// Dropped returns the number of dropped entries.
func (l *Log[T]) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Page returns the entries from index first on. Indexes count from 0 and include
// dropped entries.
func (l *Log[T]) Page(first int) Page[T] {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = min(max(first, l.dropped), l.dropped+len(l.entries))
	return Page[T]{
		First:   first,
		Dropped: l.dropped,
		Entries: append([]T{}, l.entries[first-l.dropped:]...),
	}
}

// ServeHTTP sends the Page that starts at the index in the query parameter first,
// or at 0 if there is none.
func (l *Log[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first, _ := strconv.Atoi(r.URL.Query().Get("first"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Page(first))
}
