package caller

import (
	"bytes"
	"net/http"
	"strconv"

	"acaciapath.example/core/refusal"
)

// rawResponse returns the complete HTTP response of a refusal, for a connection
// that is not served by net/http. It has no request id.
func rawResponse(r *refusal.Refusal) []byte {
	recorder := &responseBuffer{header: make(http.Header)}
	r.Write(recorder, "")
	var out bytes.Buffer
	out.WriteString("HTTP/1.1 " + strconv.Itoa(recorder.status) + " " + http.StatusText(recorder.status) + "\r\n")
	recorder.header.Set("Connection", "close")
	recorder.header.Set("Content-Length", strconv.Itoa(recorder.body.Len()))
	_ = recorder.header.Write(&out)
	out.WriteString("\r\n")
	out.Write(recorder.body.Bytes())
	return out.Bytes()
}

// responseBuffer is a response writer that keeps the response in memory.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

var _ http.ResponseWriter = (*responseBuffer)(nil)

// Header returns the header.
func (w *responseBuffer) Header() http.Header { return w.header }

// WriteHeader records the status.
func (w *responseBuffer) WriteHeader(status int) { w.status = status }

// Write appends to the body.
func (w *responseBuffer) Write(p []byte) (int, error) { return w.body.Write(p) }
