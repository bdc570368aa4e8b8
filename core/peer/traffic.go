package peer

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"
)

// Traffic counts what connections to peers carry, TLS included. The zero value
// has counted nothing. It is safe for concurrent use.
type Traffic struct {
	// BytesSent and BytesReceived count the bytes of TCP's streams.
	BytesSent, BytesReceived atomic.Uint64
	// MessagesSent and MessagesReceived count calls and answers.
	MessagesSent, MessagesReceived atomic.Uint64
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesReceived.Add(uint64(n))
	return n, err
}

// Write writes to the connection.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesSent.Add(uint64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, traffic: l.traffic}, nil
}

// countedStream counts the messages of a stream.
type countedStream struct {
	jsonrpc2.ObjectStream
	traffic *Traffic
}

// ReadObject reads a message.
func (s countedStream) ReadObject(v any) error {
	err := s.ObjectStream.ReadObject(v)
	if err == nil {
		s.traffic.MessagesReceived.Add(1)
	}
	return err
}

// WriteObject writes a message.
func (s countedStream) WriteObject(v any) error {
	err := s.ObjectStream.WriteObject(v)
	if err == nil {
		s.traffic.MessagesSent.Add(1)
	}
	return err
}

// newStream returns the stream of messages of a connection.
func newStream(conn net.Conn, traffic *Traffic) jsonrpc2.ObjectStream {
	return countedStream{
		ObjectStream: jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{}),
		traffic:      traffic,
	}
}

// RegisterTraffic registers metrics of the sum of traffic: peer_bytes_total and
// peer_messages_total, by direction.
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
