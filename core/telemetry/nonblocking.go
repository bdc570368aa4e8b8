package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the maximum number of log lines that wait for a slow
// output.
const maxQueuedLines = 1024

// NonBlockingWriter is a writer of log lines that never blocks. Lines that its
// output does not accept in time are dropped and counted.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewNonBlockingWriter returns a writer that passes whole lines on to w until
// it is closed.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write queues a copy of one line. It always reports success, even for a line
// that is dropped. It must not be called after Close.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (b *NonBlockingWriter) Dropped() uint64 { return b.dropped.Load() }

// closeTimeout is the maximum time that Close waits for the output.
const closeTimeout = 200 * time.Millisecond

// Close accepts no more lines and waits until the queued lines are written, but
// no longer than closeTimeout.
func (b *NonBlockingWriter) Close() {
	close(b.lines)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// run writes queued lines to w. If lines were dropped, it writes their number
// before the next line.
func (b *NonBlockingWriter) run(w io.Writer) {
	defer close(b.done)
	reported := uint64(0)
	for line := range b.lines {
		if dropped := b.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(w, `{"level":"warning","msg":"log lines dropped because the output is too slow","count":%d}`+"\n", dropped-reported)
			reported = dropped
		}
		_, _ = w.Write(line) // there is nowhere to report a failed write of the log
	}
}
