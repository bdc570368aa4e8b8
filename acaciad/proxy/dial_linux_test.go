package proxy_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// TestSilentServerKeepsConnectionForAWhile checks that no option ends connections to a server that
// is silent for less than the keep-alive probes take, 4 s, and that there is a bound.
func TestSilentServerKeepsConnectionForAWhile(t *testing.T) {
	const userTimeout = 0x12 // TCP_USER_TIMEOUT, which package syscall lacks
	c := qt.New(t)
	server := loopback.NewServer(http.NotFoundHandler())
	defer server.Close()
	connection, err := proxy.Dial(context.Background(), "tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	for option, want := range map[int]int{userTimeout: 4000, syscall.TCP_KEEPIDLE: 1, syscall.TCP_KEEPINTVL: 1, syscall.TCP_KEEPCNT: 3} {
		value := 0
		c.Assert(raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option) }), qt.IsNil)
		c.Assert(err, qt.IsNil)
		c.Assert(value, qt.Equals, want, qt.Commentf("option %d", option))
	}
}
