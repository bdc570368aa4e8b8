package memory

import (
	"bytes"
	"context"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Sizes of the segments of a body.
const (
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 256 << 10
)

// ErrFull is returned when a holder's share of the budget is used up.
var ErrFull = merry.Sentinel("memory: the holder's share is used up")

// Body is what was received of a message. It takes its memory from a budget, segment by segment,
// before it reads into it. It is not safe for concurrent use.
type Body struct {
	// Budget is where the memory is taken from, for Holder.
	Budget *Budget
	Holder string
	// MaxWait is how long each segment may wait for memory.
	MaxWait time.Duration

	// segments hold the body. All but the last one are full.
	segments [][]byte
	length   int
	reserved int64
}

// ReadFrom reads until the end of r, or the length that the sender announced, and returns nil then.
// expected is that length, or negative. Nothing is allocated ahead of what arrives but one segment.
// It returns ErrFull if there was no memory within MaxWait, or before ctx was done.
func (b *Body) ReadFrom(ctx context.Context, r io.Reader, expected int64) error {
	for expected < 0 || int64(b.length) < expected {
		segment, err := b.free(ctx, expected)
		if err != nil {
			return err
		}
		n, err := r.Read(segment[len(segment):cap(segment)])
		b.segments[len(b.segments)-1] = segment[:len(segment)+n]
		b.length += n
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// free returns the last segment, which has room, and adds one if it is full.
func (b *Body) free(ctx context.Context, expected int64) ([]byte, error) {
	if last := len(b.segments) - 1; last >= 0 && len(b.segments[last]) < cap(b.segments[last]) {
		return b.segments[last], nil
	}
	size := int64(min(max(b.length, minSegmentBytes), maxSegmentBytes))
	if left := expected - int64(b.length); left > 0 {
		size = min(size, left)
	}
	if !b.reserve(ctx, size) {
		return nil, ErrFull
	}
	b.reserved += size
	segment := make([]byte, 0, size)
	b.segments = append(b.segments, segment)
	return segment, nil
}

// reserve takes bytes from the budget, and waits for them at most MaxWait.
func (b *Body) reserve(ctx context.Context, bytes int64) bool {
	if b.Budget.Reserve(b.Holder, bytes) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, b.MaxWait)
	defer cancel()
	return b.Budget.Wait(ctx, b.Holder, bytes)
}

// Len returns the number of bytes.
func (b *Body) Len() int { return b.length }

// Segments returns the bytes in order, in parts that must not be changed.
func (b *Body) Segments() [][]byte { return b.segments }

// Bytes returns all bytes in one slice. It is a copy that is not taken from the budget, unless the
// body has a single segment.
func (b *Body) Bytes() []byte {
	if len(b.segments) == 1 {
		return b.segments[0]
	}
	return slices.Concat(b.segments...)
}

// Reader returns a reader of the bytes.
func (b *Body) Reader() io.Reader {
	if len(b.segments) == 1 {
		return bytes.NewReader(b.segments[0])
	}
	readers := make([]io.Reader, len(b.segments))
	for i, segment := range b.segments {
		readers[i] = bytes.NewReader(segment)
	}
	return io.MultiReader(readers...)
}

// Release gives the memory back. The body must not be used afterwards.
func (b *Body) Release() {
	b.Budget.Release(b.Holder, b.reserved)
	b.reserved, b.segments, b.length = 0, nil, 0
}
