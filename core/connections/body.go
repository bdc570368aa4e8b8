package connections

import (
	"io"
	"net/http"
	"os"
	"time"

	"acaciapath.example/core/memory"
)

// ReadBody reads the body of a request, of at most limit bytes, which must arrive at DefaultPace and
// before end. It returns http.MaxBytesError if the body is longer, memory.ErrFull if there is no
// memory, an error that is os.ErrDeadlineExceeded if the body is too slow, also while it makes room
// for another connection, and another one if the connection fails.
func ReadBody(w http.ResponseWriter, r *http.Request, body *memory.Body, limit int64, end time.Time) error {
	if r.ContentLength > limit {
		return &http.MaxBytesError{Limit: limit}
	}
	controller := http.NewResponseController(w)
	paced := &pacedReader{reader: http.MaxBytesReader(w, r.Body, limit), controller: controller, began: time.Now(), end: end}
	guarded, ok := r.Context().Value(guardKey{}).(*conn)
	if ok {
		guarded.beginBody()
	}
	err := body.ReadFrom(r.Context(), paced, r.ContentLength)
	if ok && guarded.endBody() {
		return os.ErrDeadlineExceeded // also if the last byte came meanwhile
	}
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{}) // an error shows when the connection is read
	}
	return err
}

// pacedReader reads a body that must arrive at DefaultPace and before a time.
type pacedReader struct {
	reader     io.Reader
	controller *http.ResponseController
	began, end time.Time
	read       int64
}

// Read reads once. It returns os.ErrDeadlineExceeded if the body is too slow.
func (p *pacedReader) Read(buffer []byte) (int, error) {
	deadline := DefaultPace.Deadline(p.began, p.read, time.Now())
	if p.end.Before(deadline) {
		deadline = p.end
	}
	_ = p.controller.SetReadDeadline(deadline) // an error shows in the read
	n, err := p.reader.Read(buffer)
	p.read += int64(n)
	return n, err
}
