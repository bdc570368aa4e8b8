package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"acaciapath.example/core/connections"
	"acaciapath.example/core/memory"
)

// Limits of the bodies of requests.
const (
	// defaultMaxBodyBytes is the maximum size of a request body if the catalog
	// sets none.
	defaultMaxBodyBytes = 4 << 20
	// maxBodyWait is how long a body waits for memory at a time. Meanwhile it is not read.
	maxBodyWait = time.Second
	// maxUnreadBytes is the announced length up to which the body of a refused request is
	// awaited for unreadTime, so that the connection can be used again.
	maxUnreadBytes = 64 << 10
	unreadTime     = time.Second
)

// readBody reads the body into memory, since it may be sent more than once. The
// limit is in bytes; defaultMaxBodyBytes applies if it is not positive.
func (x *exchange) readBody(limit int64) *refusal {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.request.ContentLength > limit {
		return bodyTooLarge
	}
	if x.request.ContentLength == 0 {
		return nil
	}
	x.body.Holder = x.bodyHolder()
	controller := http.NewResponseController(x.writer)
	paced := &pacedReader{
		reader: http.MaxBytesReader(x.writer, x.request.Body, limit), controller: controller,
		pace: connections.DefaultPace, began: time.Now(), end: x.deadline(),
	}
	err := x.body.ReadFrom(x.request.Context(), paced, x.request.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge
	case errors.Is(err, memory.ErrFull):
		return bodyNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bodyTooSlow
	case err != nil:
		return bodyIncomplete
	}
	x.bodyUnread = false
	_ = controller.SetReadDeadline(time.Time{}) // an error shows when the connection is read
	return nil
}

// bodyHolder returns who holds the memory of the body: the client account, or else the address of
// the caller.
func (x *exchange) bodyHolder() string {
	if x.account != nil {
		return "account/" + x.account.Name
	}
	host, _, err := net.SplitHostPort(x.request.RemoteAddr)
	if err != nil {
		return x.request.RemoteAddr
	}
	return host
}

// endUnreadBody ends the body of a refused request. net/http would go on reading it before it sends
// the answer, without a limit on the time.
func (x *exchange) endUnreadBody() {
	if !x.bodyUnread {
		return
	}
	now := time.Now()
	controller := http.NewResponseController(x.writer)
	if n := x.request.ContentLength; n > 0 && n <= maxUnreadBytes && x.body.Len() == 0 {
		_ = controller.SetReadDeadline(now.Add(unreadTime)) // an error shows when the body is read
		return
	}
	x.writer.Header().Set("Connection", "close")
	_ = controller.SetReadDeadline(now) // as above
}

// pacedReader reads a body that must arrive at a pace and before a time.
type pacedReader struct {
	reader     io.Reader
	controller *http.ResponseController
	pace       connections.Pace
	began, end time.Time
	read       int64
}

// Read reads once. It returns os.ErrDeadlineExceeded if the body is too slow.
func (p *pacedReader) Read(buffer []byte) (int, error) {
	deadline := p.pace.Deadline(p.began, p.read, time.Now())
	if p.end.Before(deadline) {
		deadline = p.end
	}
	_ = p.controller.SetReadDeadline(deadline) // an error shows in the read
	n, err := p.reader.Read(buffer)
	p.read += int64(n)
	return n, err
}
