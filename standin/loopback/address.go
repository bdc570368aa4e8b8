package loopback

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
)

// IP returns an address of the loopback network 127.0.0.0/8 that is particular to this process
// among up to 4 million. The system gives an ephemeral port to another process soon after a
// listener on it was closed. Daemons that still call the listener would reach that process if both
// used the same address.
func IP() net.IP {
	id := os.Getpid()
	// The last byte is neither that of a network nor of a broadcast address.
	return net.IPv4(127, byte(1+id/(254*256)%254), byte(id/254), byte(1+id%254))
}

// Listen listens on an ephemeral TCP port of IP.
func Listen() (net.Listener, error) { return net.Listen("tcp4", net.JoinHostPort(IP().String(), "0")) }

// NewServer starts a server like httptest.NewServer, on a port of IP. It panics if it cannot
// listen.
func NewServer(handler http.Handler) *httptest.Server {
	listener, err := Listen()
	if err != nil {
		panic("loopback: " + err.Error())
	}
	server := httptest.NewUnstartedServer(handler)
	_ = server.Listener.Close() // nothing was accepted
	server.Listener = listener
	server.Start()
	return server
}
