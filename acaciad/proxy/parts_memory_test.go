package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPartsOfPromptsAreCounted has requests with many parts of a prompt, whose parsed form is several
// times as large as their heads. It was not taken from the budget, so that a crowd of them drove the
// process over its memory (review/13, LOST). Those beyond the budget are told that they did not run, and
// one at a time is served.
func TestPartsOfPromptsAreCounted(t *testing.T) {
	const requests, parts = 60, 3900
	f := newFixture(t, 2)
	f.loadCatalog()
	s := f.startServer("i-1", "llm", 10)
	s.SetPause(50 * time.Millisecond)
	var list strings.Builder
	for i := range parts {
		fmt.Fprintf(&list, "%x:1,", i)
	}
	send := func(id string) answer {
		r := f.request(f.Context(), http.MethodPost, "/reply/", "x")
		r.Header.Set("X-Attempt-Id", id)
		r.Header.Set("X-Deadline-Ms", "10000")
		r.Header.Set("X-Prefix-Hash", list.String()+"fff:1")
		return f.do(r)
	}
	one := send("one")
	f.Assert(one.err, qt.IsNil)
	f.Assert(one.status, qt.Equals, http.StatusOK)
	var mu sync.Mutex
	refused := 0
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			a := send(fmt.Sprint("id-", i))
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusServiceUnavailable && a.body == "no-memory-for-prompt-parts\n" {
				refused++
			}
		})
	}
	group.Wait()
	f.Check(refused > 0 && refused < requests, qt.IsTrue, qt.Commentf("%d of %d refused", refused, requests))
	f.Check(receivedCount(s) <= 1+requests-refused, qt.IsTrue)
	f.eventually(func() bool { return f.handler.Buffers.Used() == 0 })
}
