package fleet

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Call is a call of a singleton duty.
type Call struct {
	At                        time.Time
	Path, Holder, Fence, Body string
}

// Cloud is a stand-in for the platform's API of singleton duties. It accepts all calls.
type Cloud struct {
	Address string

	mu    sync.Mutex
	calls []Call
}

// NewCloud starts the API.
func NewCloud(run *Run) *Cloud {
	c := &Cloud{}
	c.Address = run.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		call := Call{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("X-Duty-Holder"), Fence: r.Header.Get("X-Fencing-Token"), Body: string(body)}
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		run.Logf("platform accepts %s holder=%s fence=%s %s", call.Path, call.Holder, call.Fence, call.Body)
		w.WriteHeader(http.StatusOK)
	}))
	return c
}

// Calls returns the accepted calls, in order.
func (c *Cloud) Calls() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}
