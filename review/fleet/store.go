package fleet

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageRows is the most rows in one answer of the store.
const pageRows = 500

// row is a row of the store.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Data    []byte  `json:"data,omitempty"`
	Version *uint64 `json:"rowVersion,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

// path identifies the row in the store.
func (r row) path() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Store is a stand-in for the platform's metadata store. It loses nothing that it has
// acknowledged, unless Restore is called.
type Store struct {
	Address string

	mu      sync.Mutex
	rows    map[string]row
	feed    []row
	version uint64
	era     uint64
	changed chan struct{}
	away    bool
}

// Copy is what a Store held at some time.
type Copy struct {
	rows    map[string]row
	feed    []row
	version uint64
}

// NewStore starts an empty store.
func NewStore(run *Run) *Store {
	s := &Store{rows: make(map[string]row), era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /acaciapath/rows-tx", s.transact)
	mux.HandleFunc("GET /acaciapath/rows-get", s.get)
	mux.HandleFunc("GET /acaciapath/rows-feed", s.changes)
	s.Address = run.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler) // the channel is reset
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

// SetAway makes the store unavailable, or available again. Calls that wait are reset.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// Write writes a row of the operator or of a replica.
func (s *Store) Write(table, key string, content any) {
	data, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put([]row{{Table: table, Key: key, Data: data}})
}

// Remove removes a row of the operator or of a replica.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put([]row{{Table: table, Key: key, Deleted: true}})
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{rows: maps.Clone(s.rows), feed: slices.Clone(s.feed), version: s.version}
}

// Restore replaces what the store holds by a copy, and begins the next era. What the operator
// and the replicas wrote since is written again.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.rows
	s.rows, s.feed, s.version = maps.Clone(c.rows), slices.Clone(c.feed), c.version
	s.era++
	var again []row
	for path, known := range before {
		if copied, ok := s.rows[path]; (known.Table == "op" || known.Table == "servers") && (!ok || !bytes.Equal(copied.Data, known.Data)) {
			again = append(again, row{Table: known.Table, Part: known.Part, Key: known.Key, Data: known.Data})
		}
	}
	for path, copied := range s.rows {
		if _, ok := before[path]; (copied.Table == "op" || copied.Table == "servers") && !ok {
			again = append(again, row{Table: copied.Table, Part: copied.Part, Key: copied.Key, Deleted: true})
		}
	}
	for _, r := range again {
		s.put([]row{r})
	}
	s.wake()
}

// put applies one transaction. The caller holds s.mu.
func (s *Store) put(rows []row) {
	s.version++
	for _, r := range rows {
		version := s.version
		r.Version = &version
		if r.Deleted {
			delete(s.rows, r.path())
		} else {
			s.rows[r.path()] = r
		}
		s.feed = append(s.feed, r)
	}
	s.wake()
}

// wake wakes the calls that wait for changes. The caller holds s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer is the body of an answer with rows.
type answer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	NowMS   int64  `json:"nowMs"`
	era     uint64
}

// send sends an answer.
func send(w http.ResponseWriter, status int, a answer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	a.NowMS = time.Now().UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(a.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // the caller may have left
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Preconditions []row `json:"precondition"`
		Writes        []row `json:"write"`
		Removals      []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, changed := range slices.Concat(t.Writes, t.Removals) {
		if changed.Table == "op" || changed.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(txnTime)
	s.mu.Lock()
	status := http.StatusOK
	var current []row
	for _, p := range t.Preconditions {
		known, exists := s.rows[p.path()]
		if exists {
			current = append(current, known)
		}
		var version uint64
		if exists {
			version = *known.Version
		}
		if p.Version == nil || *p.Version != version {
			status = http.StatusPreconditionFailed
		}
	}
	a := answer{era: s.era}
	if status == http.StatusOK {
		for i := range t.Removals {
			t.Removals[i].Deleted = true
		}
		s.put(slices.Concat(t.Writes, t.Removals))
	} else {
		a.Rows = current
	}
	a.Version = s.version
	s.mu.Unlock()
	send(w, status, a)
}

// txnTime is how long a transaction takes (txnMs of the sites).
const txnTime = 5 * time.Millisecond

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, pageRows)
	}
	s.mu.Lock()
	var rows []row
	for _, known := range s.rows {
		if known.Table == q.Get("table") && known.Part == q.Get("part") && known.Key >= q.Get("from") &&
			(q.Get("to") == "" || known.Key < q.Get("to")) {
			rows = append(rows, known)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	a := answer{Rows: rows[:min(limit, len(rows))], More: len(rows) > limit, Version: s.version, era: s.era}
	s.mu.Unlock()
	send(w, http.StatusOK, a)
}

func (s *Store) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		a, changed, gone, away := answer{Version: s.version, era: s.era}, s.changed, after > s.version, s.away
		for _, known := range s.feed {
			if known.Table == q.Get("table") && *known.Version > after {
				a.Rows = append(a.Rows, known)
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case gone:
			send(w, http.StatusGone, answer{era: a.era})
			return
		case len(a.Rows) > 0 || !waiting:
			send(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
