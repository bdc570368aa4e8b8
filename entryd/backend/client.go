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
	"acaciapath.example/core/responses"
	"acaciapath.example/core/telemetry"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/propagation"
)

// Limits of connections to backend servers.
const (
	dialTimeout         = time.Second
	idleTimeout         = 60 * time.Second
	maxIdleConnsPerHost = 256
	// maxControlBytes limits the response to a control call. Control calls are
	// the calls to engines other than chat requests.
	maxControlBytes = 1 << 20
)

// ErrStatus is returned when the response to a control call has a status other
// than 200.
var ErrStatus = merry.Sentinel("backend: backend server answered a control call with a status other than 200")

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections.
	pooled http.RoundTripper
	// unpooled opens a connection for each request. With a reused connection,
	// net/http sends a request again if the connection turns out to be closed.
	unpooled http.RoundTripper
}

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{pooled: newTransport(false), unpooled: newTransport(true)}
}

// NewClientWithTransport returns a client that sends all requests through
// transport.
func NewClientWithTransport(transport http.RoundTripper) *Client {
	return &Client{pooled: transport, unpooled: transport}
}

func newTransport(unpooled bool) *responses.Transport {
	return responses.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   unpooled,
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	(&http.Client{Transport: c.pooled}).CloseIdleConnections()
	(&http.Client{Transport: c.unpooled}).CloseIdleConnections()
}

// trackedBody records whether the transport has read from the body. If it has
// not, the engine cannot have started the request.
type trackedBody struct {
	bytes.Reader
	read atomic.Bool
}

// Read reads the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}

// WriteTo writes the body.
func (b *trackedBody) WriteTo(w io.Writer) (int64, error) {
	b.read.Store(true)
	return b.Reader.WriteTo(w)
}

// Close does nothing.
func (b *trackedBody) Close() error { return nil }

// Chat sends a chat request to an engine. If Chat fails, sent tells whether the
// engine may have started the request.
func (c *Client) Chat(ctx context.Context, s replica.Spec, requestID string, body []byte) (response *http.Response, sent bool, err error) {
	content := &trackedBody{}
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
	response, err = c.pooled.RoundTrip(request)
	return response, content.read.Load(), err
}

var (
	jsonType  = []string{"application/json"}
	userAgent = []string{"acaciapath"}
)

// Do sends a call to a replica of a plain service. A call that must not be
// repeated uses a new connection. If Do fails, sent tells whether the service
// may have started the call.
func (c *Client) Do(request *http.Request, repeatable bool) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	transport := c.pooled
	if !repeatable {
		transport = c.unpooled
	}
	response, err = transport.RoundTrip(request)
	return response, connected.Load(), err
}

// Cancel cancels a request at an engine and returns its usage so far.
func (c *Client) Cancel(ctx context.Context, s replica.Spec, requestID string) (engine.CancelResult, error) {
	var cancelled engine.CancelResult
	data, err := json.Marshal(engine.Cancel{RequestID: requestID})
	if err != nil {
		return cancelled, err
	}
	err = c.controlCall(ctx, http.MethodPost, s.Address, engine.PathCancel, data, &cancelled)
	return cancelled, err
}

// Load returns the load that an engine last published.
func (c *Client) Load(ctx context.Context, s replica.Spec) (engine.Load, error) {
	var load engine.Load
	err := c.controlCall(ctx, http.MethodGet, s.Address, engine.PathLoad, nil, &load)
	return load, err
}

// CacheEvents returns the changes of an engine's prefix cache with sequence
// numbers greater than after.
func (c *Client) CacheEvents(ctx context.Context, s replica.Spec, after uint64) ([]engine.CacheEvent, error) {
	var events engine.CacheEvents
	path := engine.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.controlCall(ctx, http.MethodGet, s.Address, path, nil, &events)
	return events.Events, err
}

// controlCall sends a control call and decodes its response into result.
func (c *Client) controlCall(ctx context.Context, method, address, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header["Content-Type"] = jsonType
	response, err := c.pooled.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Wrap(ErrStatus, merry.WithValue("status", response.StatusCode))
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(result)
}
