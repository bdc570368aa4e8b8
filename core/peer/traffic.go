package peer

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"
)

// Traffic counts the bytes, TLS included, and the messages of connections between
// peers. The zero value is ready to use. It is safe for concurrent use.
type Traffic struct {
	// BytesSent and BytesReceived count the bytes of the TCP streams.
	BytesSent, BytesReceived atomic.Uint64
	// MessagesSent and MessagesReceived count calls, answers and notifications.
	MessagesSent, MessagesReceived atomic.Uint64
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesReceived.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesSent.Add(uint64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: l.traffic}, nil
}

// countingStream counts the messages of a stream.
type countingStream struct {
	jsonrpc2.ObjectStream
	traffic *Traffic
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s countingStream) ReadObject(v any) error {
	err := s.ObjectStream.ReadObject(v)
	if err == nil {
		s.traffic.MessagesReceived.Add(1)
	}
	return err
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s countingStream) WriteObject(v any) error {
	err := s.ObjectStream.WriteObject(v)
	if err == nil {
		s.traffic.MessagesSent.Add(1)
	}
	return err
}

// newStream returns the message stream of a connection. It counts the messages in
// traffic.
func newStream(conn net.Conn, traffic *Traffic) jsonrpc2.ObjectStream {
	return countingStream{
		ObjectStream: jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{}),
		traffic:      traffic,
	}
}

// RegisterTraffic registers the metrics peer_bytes_total and peer_messages_total,
// by direction, whose values are the sums over the given counters.
func RegisterTraffic(registry *prometheus.Registry, namespace string, traffic ...*Traffic) {
	register := func(name, help, direction string, value func(*Traffic) uint64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: name, Help: help,
			ConstLabels: prometheus.Labels{"direction": direction},
		}, func() float64 {
			sum := uint64(0)
			for _, t := range traffic {
				sum += value(t)
			}
			return float64(sum)
		}))
	}
	const bytesHelp, messagesHelp = "Bytes between peers, TLS included.", "Calls and answers between peers."
	register("peer_bytes_total", bytesHelp, "sent", func(t *Traffic) uint64 { return t.BytesSent.Load() })
	register("peer_bytes_total", bytesHelp, "received", func(t *Traffic) uint64 { return t.BytesReceived.Load() })
	register("peer_messages_total", messagesHelp, "sent", func(t *Traffic) uint64 { return t.MessagesSent.Load() })
	register("peer_messages_total", messagesHelp, "received", func(t *Traffic) uint64 { return t.MessagesReceived.Load() })
}
