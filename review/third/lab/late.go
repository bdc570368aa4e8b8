package lab

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"

	"acaciapath.example/standin/loopback"
)

// maxTransactionBytes bounds what is read of a transaction.
const maxTransactionBytes = 4 << 20

// LateStore is an address of the store at which the answers of some writes are lost, and the writes are
// done later.
type LateStore struct {
	// Loses reports whether the answer of a write of a row is lost. It may be called at the same
	// time for several writes.
	Loses func(key string) bool
	// Delay is how much later such a write is done.
	Delay time.Duration

	lab    *Lab
	server *httptest.Server

	mu           sync.Mutex // guards the fields below
	writes, lost int
}

// NewLateStore starts one that loses nothing until Loses is set, before the first call.
func (l *Lab) NewLateStore() *LateStore {
	s := &LateStore{lab: l, Loses: func(string) bool { return false }}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: l.Store.Address()})
	proxy.FlushInterval = -1
	proxy.ErrorLog = log.New(io.Discard, "", 0) // daemons end calls when they end
	s.server = loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || !strings.HasSuffix(r.URL.Path, "/rows-tx") {
			proxy.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxTransactionBytes))
		if err != nil {
			return
		}
		if key, lost := s.loses(body); lost {
			l.Note("store: the answer of a write of %s is lost, it is done %.1f s later", key, s.Delay.Seconds())
			time.AfterFunc(s.Delay, func() { s.apply(body, key) })
			<-r.Context().Done() // the channel delivers nothing further
			panic(http.ErrAbortHandler)
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		proxy.ServeHTTP(w, r)
	}))
	return s
}

// Address returns its IP address and port.
func (s *LateStore) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Writes returns the numbers of writes so far and of those whose answers were lost.
func (s *LateStore) Writes() (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.lost
}

// loses counts a transaction, and reports whether its answer is lost and for which row.
func (s *LateStore) loses(body []byte) (key string, lost bool) {
	var transaction struct {
		Write []struct {
			Key string `json:"key"`
		} `json:"write"`
	}
	if err := json.Unmarshal(body, &transaction); err != nil {
		return "", false
	}
	for _, row := range transaction.Write {
		if s.Loses(row.Key) {
			key, lost = row.Key, true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if lost {
		s.lost++
	}
	return key, lost
}

// apply does a write whose answer was lost, if its conditions still hold.
func (s *LateStore) apply(body []byte, key string) {
	response, err := http.Post("http://"+s.lab.Store.Address()+"/acaciapath/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		s.lab.Note("store: late write of %s failed: %v", key, err)
		return
	}
	_ = response.Body.Close() // the status tells
	s.lab.Note("store: late write of %s is done: %d", key, response.StatusCode)
}
