package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/core/keepalive"
	"acaciapath.example/core/responses"
)

// Limits of connections to backend servers.
const (
	// dialTimeout bounds the establishment of a connection. It allows for several
	// round trips between regions, which take 40 ms each.
	dialTimeout = 250 * time.Millisecond
	// idleConnTimeout is how long an idle connection is kept open. Backend servers
	// close idle connections after a few seconds.
	idleConnTimeout = time.Second
	// maxIdleConnsPerServer is the maximum number of idle connections kept open
	// to one backend server.
	maxIdleConnsPerServer = 8
	// maxResponseHeaderBytes is the maximum size of the status line and the headers of
	// a response. Those of backend servers have a few hundred bytes.
	maxResponseHeaderBytes = 64 << 10
	// keepAliveInterval is the interval of the TCP keep-alive probes that detect
	// unresponsive backend servers, and keepAliveProbes is the number of probes
	// that may go unanswered. A server that is silent for a second or two keeps its
	// connections.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections between requests.
	pooled *responses.Transport
	// singleUse opens a new connection for each request. net/http resends a
	// request if a reused connection turns out to be closed, and requests that
	// may run only once must not be sent twice.
	singleUse *responses.Transport
	// dial opens the connections.
	dial DialFunc
}

// DialFunc opens a connection to a backend server, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer opens connections with the limits above.
var dialer = keepalive.NewDialer(dialTimeout, net.KeepAliveConfig{
	Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
})

// Dial opens a TCP connection to a backend server with the limits above.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// NewClient returns a client that has no open connections and opens them with dial.
func NewClient(dial DialFunc) *Client {
	return &Client{pooled: newTransport(dial, false), singleUse: newTransport(dial, true), dial: dial}
}

// Accepts reports whether a backend server accepts connections.
func (c *Client) Accepts(address string) bool {
	connection, err := c.dial(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close() // nothing was sent
	return true
}

// Transport returns the transport that reuses connections, for other calls to
// backend servers.
func (c *Client) Transport() http.RoundTripper { return c.pooled }

// SingleUseTransport returns the transport that opens a connection for each request.
func (c *Client) SingleUseTransport() http.RoundTripper { return c.singleUse }

// newTransport returns a transport with the limits above. If disableKeepAlives
// is set, each request uses a new connection.
func newTransport(dial DialFunc, disableKeepAlives bool) *responses.Transport {
	return responses.NewTransport(&http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		DisableKeepAlives:      disableKeepAlives,
	})
}

// Send sends a request on the own path and returns the response.
func (c *Client) Send(ctx context.Context, r forwarding.Request) (*http.Response, forwarding.Transmission, error) {
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
	}}
	transport := c.singleUse
	if r.Repeatable {
		transport = c.pooled
	}
	response, err := transport.RoundTrip(r.HTTP(httptrace.WithClientTrace(ctx, trace)))
	return response, forwarding.Transmission{Sent: connected.Load(), Reused: reused.Load()}, err
}
