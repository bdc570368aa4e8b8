package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/core/telemetry"

	qt "github.com/frankban/quicktest"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	gate chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// TestBoundedNeverBlocks logs far more lines than wait while the output is stuck.
func TestBoundedNeverBlocks(t *testing.T) {
	c := qt.New(t)
	output := &stuck{gate: make(chan struct{})}
	b := telemetry.NewNonBlockingWriter(output)
	began := time.Now()
	const lines = 5000
	for range lines {
		n, err := b.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 5)
	}
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	dropped := b.Dropped()
	c.Assert(dropped > 0, qt.IsTrue)
	close(output.gate)
	b.Close()
	output.mu.Lock()
	defer output.mu.Unlock()
	text := output.out.String()
	c.Assert(strings.Count(text, "line\n"), qt.Equals, lines-int(dropped))
	c.Assert(strings.Contains(text, "log lines were left out"), qt.IsTrue)
}
