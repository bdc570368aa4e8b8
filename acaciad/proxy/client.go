package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"
)

// Limits of the connections to backend servers.
const (
	// dialTimeout bounds the setting up of a connection: some round trips
	// between regions, which take 40 ms.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long a connection is kept without a request. Backend
	// servers close theirs after some seconds.
	idleTimeout = time.Second
	// idleConnections is the most connections kept to one backend server.
	idleConnections = 8
	// keepAlive is the interval of the probes that find out backend servers
	// which fell silent, and keepAliveProbes how many may go unanswered.
	keepAlive       = time.Second
	keepAliveProbes = 3
)

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	// shared keeps connections open between requests.
	shared *http.Transport
	// single opens a connection for each request, so that net/http never sends
	// a request twice because a kept connection turned out to be closed.
	single *http.Transport
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{shared: newTransport(false), single: newTransport(true)}
}

// Transport returns what keeps connections to backend servers open, for other
// calls to them.
func (c *Client) Transport() http.RoundTripper { return c.shared }

func newTransport(single bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   single,
	}
}

// outgoing is a request to a backend server.
type outgoing struct {
	method  string
	target  *url.URL
	host    string
	header  http.Header
	body    []byte
	address string
	// repeatable says whether the backend server may get it twice.
	repeatable bool
}

// send sends a request. If it fails, sent says whether the backend server may
// have got it.
func (c *Client) send(ctx context.Context, o outgoing) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := (&http.Request{
		Method: o.method,
		URL: &url.URL{
			Scheme: "http", Host: o.address,
			Path: o.target.Path, RawPath: o.target.RawPath,
			RawQuery: o.target.RawQuery, ForceQuery: o.target.ForceQuery,
		},
		Host:          o.host,
		Header:        o.header,
		ContentLength: int64(len(o.body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	if len(o.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(o.body))
	}
	transport := c.single
	if o.repeatable {
		transport = c.shared
	}
	response, err = transport.RoundTrip(request)
	return response, connected.Load(), err
}
