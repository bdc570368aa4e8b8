package responses

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrNoAnswer is returned for a response that is no answer: its status is not one of an answer, or
// it has another version of the protocol. The request may have been executed.
var ErrNoAnswer = merry.Sentinel("responses: the response is no answer")

// errUploadIncomplete is returned at the end of the body of a response whose connection ended
// before the request was sent.
var errUploadIncomplete = merry.Sentinel("responses: the connection ended before the request was sent, so that the response may be incomplete")

// Transport is a transport whose responses are complete answers if their bodies can be read to
// the end. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that sends requests with base. It replaces DialContext in
// base, which must be set.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: connection}, nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. It returns ErrNoAnswer as Check does. The body of a
// response that ends with its connection ends with an error if the request was not sent by then.
// net/http does not send the rest of it.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	u := &upload{}
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { u.sent.Store(false) }, // net/http may send a request again
		WroteRequest: func(info httptrace.WroteRequestInfo) { u.sent.Store(info.Err == nil) },
	}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close() // which closes the connection
		return nil, err
	}
	if EndsWithConnection(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, upload: u}
	}
	return response, nil
}

// Statuses of answers: those of success, of redirection and of failure.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// Check returns ErrNoAnswer if a response is no answer. net/http also returns responses with a
// status below 100 or above 599, those by which a server switches to another protocol, and those
// of other versions of the protocol.
func Check(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus || r.ProtoMajor != 1 {
		return merry.Wrap(ErrNoAnswer, merry.AppendMessagef("status %d, version %d.%d", r.StatusCode, r.ProtoMajor, r.ProtoMinor))
	}
	return nil
}

// EndsWithConnection reports whether nothing but the end of its connection shows the end of a
// response.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// upload is the sending of a request.
type upload struct{ sent atomic.Bool }

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	upload *upload
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF { // never wrapped
		return n, err
	}
	for end := time.Now().Add(writeGrace); !b.upload.sent.Load() && time.Now().Before(end); {
		time.Sleep(writePollInterval)
	}
	if !b.upload.sent.Load() {
		err = errUploadIncomplete
	}
	return n, err
}
