package proxy

import (
	"errors"
	"io"

	"acaciapath.example/core/memory"
)

// Sizes of buffers for answers.
const (
	// freeBufferBytes is the size up to which a buffer is not counted. Nearly all answers
	// and events are smaller.
	freeBufferBytes = 16 << 10
	// initialBufferBytes is the initial size of a buffer.
	initialBufferBytes = 4 << 10
)

// errBufferFull is returned when an answer exceeds its limit, or the memory for large
// answers is used up.
var errBufferFull = errors.New("proxy: the answer does not fit into memory")

// answersHolder holds the memory of answers that are being received. A backend server in trouble
// may send bytes without end, and hundreds of requests may meet it at the same time.
const answersHolder = "answers"

// buffer is a byte slice that grows within a limit and a budget.
type buffer struct {
	data     []byte
	limit    int
	budget   *memory.Budget
	reserved int64
}

// newBuffer returns an empty buffer of at most limit bytes.
func newBuffer(budget *memory.Budget, limit int) *buffer {
	return &buffer{data: make([]byte, 0, initialBufferBytes), limit: limit, budget: budget}
}

// readFrom reads once and appends what it read. It returns errBufferFull if there is no
// room for more.
func (b *buffer) readFrom(r io.Reader) error {
	if len(b.data) == cap(b.data) {
		if err := b.grow(); err != nil {
			return err
		}
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return err
}

// grow doubles the capacity, within the limit.
func (b *buffer) grow() error {
	size := min(2*cap(b.data), b.limit)
	if size <= cap(b.data) {
		return errBufferFull
	}
	if size > freeBufferBytes {
		more := int64(size) - b.reserved
		if !b.budget.Reserve(answersHolder, more) {
			return errBufferFull
		}
		b.reserved += more
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return nil
}

// discard removes the first n bytes.
func (b *buffer) discard(n int) { b.data = b.data[:copy(b.data, b.data[n:])] }

// release returns the memory to the budget. The buffer must not grow afterwards.
func (b *buffer) release() {
	b.budget.Release(answersHolder, b.reserved)
	b.reserved = 0
}
