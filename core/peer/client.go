package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
)

// Client calls one peer. It connects at the first call, and again at the next
// call after the connection has ended. It is safe for concurrent use.
type Client struct {
	address string
	config  *tls.Config
	traffic *Traffic
	mu      sync.Mutex
	rpc     *jsonrpc2.Conn
	closed  bool
	// onNotify is called with each notification; it may be nil.
	onNotify func(method string, params json.RawMessage)
}

// NewClient returns a client of the peer at address, an IP address and a port.
// The client uses no TLS if config is nil.
func NewClient(address string, config *tls.Config) *Client {
	return &Client{address: address, config: config, traffic: new(Traffic)}
}

// OnNotify sets the function that is called with each notification of the peer.
// OnNotify must be called before the first call, and f must not block.
func (c *Client) OnNotify(f func(method string, params json.RawMessage)) { c.onNotify = f }

// Status returns the state of the peer.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, MethodStatus, nil, &status)
	return status, err
}

// ExchangeHead sends the head of this daemon and returns that of the peer.
func (c *Client) ExchangeHead(ctx context.Context, head ConfigHead) (ConfigHead, error) {
	var answer ConfigHead
	err := c.call(ctx, MethodConfigHead, head, &answer)
	return answer, err
}

// GetConfig returns the content of a revision or of a newer one.
func (c *Client) GetConfig(ctx context.Context, revision uint64) (ConfigContent, error) {
	var content ConfigContent
	err := c.call(ctx, MethodGetConfig, ConfigRequest{Revision: revision}, &content)
	return content, err
}

// Heartbeat sends a heartbeat and returns the answer.
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

// Call calls a method of the peer and decodes its result into result, which must
// be a pointer.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	return c.call(ctx, method, params, result)
}

func (c *Client) call(ctx context.Context, method string, params, result any) error {
	rpc, err := c.connect(ctx)
	if err != nil {
		return err
	}
	if err := rpc.Call(ctx, method, params, result); err != nil {
		return merry.Prependf(err, "peer: call %s at %s", method, c.address)
	}
	return nil
}

// connect returns the open connection, or opens one if there is none.
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
	c.rpc = jsonrpc2.NewConn(context.Background(), newStream(conn, c.traffic), jsonrpc2.HandlerWithError(c.handle), discardLog)
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
	conn = countingConn{Conn: conn, traffic: c.traffic}
	if c.config == nil {
		return conn, nil
	}
	tlsConn := tls.Client(conn, c.config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// handle passes notifications of the peer to onNotify and rejects calls of the
// peer.
func (c *Client) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Notif && req.Params != nil && c.onNotify != nil {
		c.onNotify(req.Method, *req.Params)
		return nil, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "clients answer no calls"}
}
