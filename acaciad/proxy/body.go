package proxy

import (
	"errors"
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
	// awaited, so that the connection can be used again.
	maxUnreadBytes = 64 << 10
	// writeSlack is how long after the deadline of a request its answer may still be read. An
	// answer that is late is delivered, to a caller that reads.
	writeSlack = 5 * time.Second
)

// readBody reads the body into memory, since it may be sent more than once. The
// limit is in bytes; defaultMaxBodyBytes applies if it is not positive.
func (x *exchange) readBody(limit int64) *refusal {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.request.ContentLength == 0 {
		return nil
	}
	x.body.Holder = x.bodyHolder()
	err := connections.ReadBody(x.writer, x.request, x.body, limit, x.deadline())
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
	return nil
}

// partMemory is the memory of a part of a prompt: its parsed form, and twice that by which requests with
// the same part are known.
const partMemory = 64

// parseParts parses the parts of the prompt, whose memory is taken from the budget. Nothing is parsed
// before the body is complete: a client may hold that back.
func (x *exchange) parseParts() *refusal {
	h := x.handler
	bytes := partMemory * int64(h.Wire.CountParts(x.request.Header))
	if bytes > 0 && !h.Buffers.Reserve(x.bodyHolder(), bytes) {
		return partsNoMemory
	}
	x.partsMemory = bytes
	x.metadata.Work.Parts = h.Wire.ParseParts(x.request.Header)
	return nil
}

// releaseParts gives the memory of parseParts back. The parts must not be used afterwards.
func (x *exchange) releaseParts() { x.handler.Buffers.Release(x.bodyHolder(), x.partsMemory) }

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

// endUnreadBody has the connection closed after a refusal if much of the body may still come.
func (x *exchange) endUnreadBody() {
	n := x.request.ContentLength
	if x.bodyUnread && (n < 0 || n > maxUnreadBytes || x.body.Len() > 0) {
		x.writer.Header().Set("Connection", "close")
	}
}

// limitWriting bounds the time for which a caller that does not read its answer holds a connection
// and a backend server. The daemon's listener removes the limit before the next request.
func (x *exchange) limitWriting() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(x.deadline().Add(writeSlack)) // an error shows in the writes
}
