package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"acaciapath.example/core/engine"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/telemetry"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/propagation"
)

// Limits of the connections to backend servers.
const (
	dialTimeout     = time.Second
	idleTimeout     = 60 * time.Second
	idleConnections = 256
	// maxControlBytes bounds the answers to control calls.
	maxControlBytes = 1 << 20
)

// ErrStatus is returned when a control call was not answered with 200.
var ErrStatus = merry.Sentinel("backend: control call failed")

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	// shared keeps connections open between requests.
	shared http.RoundTripper
	// single opens a connection for each request, so that net/http never sends
	// a request twice because a kept connection turned out to be closed.
	single http.RoundTripper
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{shared: newTransport(false), single: newTransport(true)}
}

// NewClientWithTransport returns a client that sends all requests by transport.
func NewClientWithTransport(transport http.RoundTripper) *Client {
	return &Client{shared: transport, single: transport}
}

func newTransport(single bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   single,
	}
}

// Close closes the connections that no request uses.
func (c *Client) Close() {
	(&http.Client{Transport: c.shared}).CloseIdleConnections()
	(&http.Client{Transport: c.single}).CloseIdleConnections()
}

// chatBody notes whether any of a body was asked for, without which an engine
// cannot have begun.
type chatBody struct {
	bytes.Reader
	read atomic.Bool
}

// Read reads the body.
func (b *chatBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}

// WriteTo writes the body.
func (b *chatBody) WriteTo(w io.Writer) (int64, error) {
	b.read.Store(true)
	return b.Reader.WriteTo(w)
}

// Close does nothing.
func (b *chatBody) Close() error { return nil }

// Chat sends a chat request to an engine. If it fails, sent says whether the
// engine may have begun.
func (c *Client) Chat(ctx context.Context, s replica.Spec, requestID string, body []byte) (response *http.Response, sent bool, err error) {
	content := &chatBody{}
	content.Reset(body)
	request := (&http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: s.Address, Path: engine.PathChat},
		Host:          s.Address,
		Header:        make(http.Header, 6),
		Body:          content,
		ContentLength: int64(len(body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	request.Header["Content-Type"] = jsonType
	request.Header[engine.HeaderRequestID] = []string{requestID}
	request.Header["User-Agent"] = userAgent
	telemetry.Propagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, err = c.shared.RoundTrip(request)
	return response, content.read.Load(), err
}

var (
	jsonType  = []string{"application/json"}
	userAgent = []string{"acaciapath"}
)

// Do sends a call of a plain service. A call that may not be repeated goes out
// on a connection of its own. If it fails, sent says whether the service may
// have begun.
func (c *Client) Do(request *http.Request, repeatable bool) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	transport := c.shared
	if !repeatable {
		transport = c.single
	}
	response, err = transport.RoundTrip(request)
	return response, connected.Load(), err
}

// Cancel ends a request at an engine and returns what had run of it.
func (c *Client) Cancel(ctx context.Context, s replica.Spec, requestID string) (engine.CancelResult, error) {
	var cancelled engine.CancelResult
	data, err := json.Marshal(engine.Cancel{RequestID: requestID})
	if err != nil {
		return cancelled, err
	}
	err = c.control(ctx, http.MethodPost, s.Address, engine.PathCancel, data, &cancelled)
	return cancelled, err
}

// Load returns what an engine last published of its load.
func (c *Client) Load(ctx context.Context, s replica.Spec) (engine.Load, error) {
	var load engine.Load
	err := c.control(ctx, http.MethodGet, s.Address, engine.PathLoad, nil, &load)
	return load, err
}

// CacheEvents returns the changes of an engine's prefix cache after a sequence
// number.
func (c *Client) CacheEvents(ctx context.Context, s replica.Spec, after uint64) ([]engine.CacheEvent, error) {
	var events engine.CacheEvents
	path := engine.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.control(ctx, http.MethodGet, s.Address, path, nil, &events)
	return events.Events, err
}

// control makes a control call and decodes its answer.
func (c *Client) control(ctx context.Context, method, address, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header["Content-Type"] = jsonType
	response, err := c.shared.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Wrap(ErrStatus, merry.WithValue("status", response.StatusCode))
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(answer)
}
