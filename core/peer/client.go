package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
)

// Client calls one peer. It connects at the first call and again after a
// failure. It is safe for concurrent use.
type Client struct {
	address string
	config  *tls.Config
	traffic *Traffic
	mu      sync.Mutex
	rpc     *jsonrpc2.Conn
	closed  bool
}

// NewClient returns a client of the peer at address, an IP number and a port.
// A nil config means no TLS.
func NewClient(address string, config *tls.Config) *Client {
	return &Client{address: address, config: config, traffic: new(Traffic)}
}

// Status returns the state of the peer.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, MethodStatus, nil, &status)
	return status, err
}

// Head tells the peer the caller's head and returns the peer's.
func (c *Client) Head(ctx context.Context, head Head) (Head, error) {
	var answer Head
	err := c.call(ctx, MethodHead, head, &answer)
	return answer, err
}

// GetConfig returns the content of a revision.
func (c *Client) GetConfig(ctx context.Context, revision uint64) (ConfigContent, error) {
	var content ConfigContent
	err := c.call(ctx, MethodGetConfig, GetConfig{Revision: revision}, &content)
	return content, err
}

// Heartbeat asks the peer whether it lives.
func (c *Client) Heartbeat(ctx context.Context, heartbeat Heartbeat) (HeartbeatAnswer, error) {
	var answer HeartbeatAnswer
	err := c.call(ctx, MethodHeartbeat, heartbeat, &answer)
	return answer, err
}

// Close ends the connection. Later calls return ErrClosed.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.rpc == nil {
		return nil
	}
	return c.rpc.Close()
}

// Call calls a method of the peer. The result is decoded into result, a pointer.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	return c.call(ctx, method, params, result)
}

func (c *Client) call(ctx context.Context, method string, params, result any) error {
	rpc, err := c.connect(ctx)
	if err != nil {
		return err
	}
	if err := rpc.Call(ctx, method, params, result); err != nil {
		return merry.Prependf(err, "peer: %s at %s", method, c.address)
	}
	return nil
}

// connect returns the open connection or opens one.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if c.rpc != nil {
		select {
		case <-c.rpc.DisconnectNotify():
		default:
			return c.rpc, nil
		}
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "peer: connect")
	}
	c.rpc = jsonrpc2.NewConn(context.Background(), newStream(conn, c.traffic), jsonrpc2.HandlerWithError(refuse), silent)
	return c.rpc, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	conn = countedConn{Conn: conn, traffic: c.traffic}
	if c.config == nil {
		return conn, nil
	}
	secure := tls.Client(conn, c.config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}

// refuse answers calls from the server side, which makes none.
func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "clients answer no calls"}
}
