package caller

import (
	"bytes"
	"net/http"
	"strconv"

	"acaciapath.example/core/refusal"
)

// rawResponse returns the whole HTTP response of a refusal, for a connection
// that no server reads from. It has no request id.
func rawResponse(r *refusal.Refusal) []byte {
	recorder := &rawWriter{header: make(http.Header)}
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

// rawWriter keeps a response.
type rawWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

var _ http.ResponseWriter = (*rawWriter)(nil)

// Header returns the header.
func (w *rawWriter) Header() http.Header { return w.header }

// WriteHeader keeps the status.
func (w *rawWriter) WriteHeader(status int) { w.status = status }

// Write keeps a part of the body.
func (w *rawWriter) Write(p []byte) (int, error) { return w.body.Write(p) }
