package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// boundedLines is the number of log lines that wait for a slow output.
const boundedLines = 1024

// NonBlockingWriter is a writer of log lines that never blocks: lines that its output
// does not take in time are left out and counted.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewNonBlockingWriter returns a writer that writes whole lines to w, until Close.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write takes one line over.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out.
func (b *NonBlockingWriter) Dropped() uint64 { return b.dropped.Load() }

// closeTimeout bounds how long Close waits for the output.
const closeTimeout = 200 * time.Millisecond

// Close writes what waits, for closeTimeout at most. No line is written after.
func (b *NonBlockingWriter) Close() {
	close(b.lines)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

func (b *NonBlockingWriter) run(w io.Writer) {
	defer close(b.done)
	told := uint64(0)
	for line := range b.lines {
		if dropped := b.dropped.Load(); dropped > told {
			_, _ = fmt.Fprintf(w, `{"level":"warning","msg":"log lines were left out","count":%d}`+"\n", dropped-told)
			told = dropped
		}
		_, _ = w.Write(line) // there is nowhere to report a failed log to
	}
}
