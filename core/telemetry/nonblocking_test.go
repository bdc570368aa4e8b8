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

// blockedOutput is an output that blocks every write until gate is closed.
type blockedOutput struct {
	gate chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.gate
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.out.Write(p)
}

// TestNonBlockingWriterNeverBlocks writes more lines than fit in the queue while
// the output is blocked: Write must drop lines instead of blocking, and the
// output must contain a line that reports the drop.
func TestNonBlockingWriterNeverBlocks(t *testing.T) {
	c := qt.New(t)
	output := &blockedOutput{gate: make(chan struct{})}
	b := telemetry.NewNonBlockingWriter(output)
	start := time.Now()
	const lines = 5000
	for range lines {
		n, err := b.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 5)
	}
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
	dropped := b.Dropped()
	c.Assert(dropped > 0, qt.IsTrue)
	close(output.gate)
	b.Close()
	output.mu.Lock()
	defer output.mu.Unlock()
	text := output.out.String()
	c.Assert(strings.Count(text, "line\n"), qt.Equals, lines-int(dropped))
	c.Assert(strings.Contains(text, "log lines dropped because the output is too slow"), qt.IsTrue)
}
