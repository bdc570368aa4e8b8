package keepalive_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/core/keepalive"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// config has the least times that the system allows.
var config = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// connect opens a connection with config to a peer that reads only after a pause, and never if
// that is 0.
func connect(c *qt.C, pause time.Duration) net.Conn {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		peer, err := listener.Accept()
		if err != nil {
			return
		}
		c.Cleanup(func() { peer.Close() })
		if pause == 0 {
			return
		}
		time.Sleep(pause)
		for buffer := make([]byte, 1<<16); err == nil; {
			_, err = peer.Read(buffer)
		}
	}()
	connection, err := keepalive.NewDialer(time.Second, config).DialContext(context.Background(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { connection.Close() })
	return connection
}

// option returns an option of a connection.
func option(c *qt.C, connection net.Conn, name int) (value int) {
	raw, err := connection.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) })
	c.Assert(controlErr, qt.IsNil)
	c.Assert(err, qt.IsNil)
	return value
}

// TestUserTimeoutCoversTheProbes checks that the option that ends connections with data ends
// silent ones no sooner than their keep-alive probes do.
func TestUserTimeoutCoversTheProbes(t *testing.T) {
	c := qt.New(t)
	connection := connect(c, 0)
	c.Assert(option(c, connection, unix.TCP_USER_TIMEOUT), qt.Equals, 3000)
	c.Assert(option(c, connection, unix.TCP_KEEPIDLE), qt.Equals, 1)
	c.Assert(option(c, connection, unix.TCP_KEEPINTVL), qt.Equals, 1)
	c.Assert(option(c, connection, unix.TCP_KEEPCNT), qt.Equals, 2)
}

// TestDataThatDoesNotArriveEndsConnection has a peer stop to take data. The write must end with
// a timeout of the system.
func TestDataThatDoesNotArriveEndsConnection(t *testing.T) {
	c := qt.New(t)
	connection := connect(c, 0)
	c.Assert(connection.SetWriteDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	_, err := connection.Write(make([]byte, 64<<20))
	c.Assert(errors.Is(err, syscall.ETIMEDOUT), qt.IsTrue, qt.Commentf("%v", err))
}

// TestShortSilenceKeepsConnection has a peer take no data for two seconds, and nothing be sent
// for two seconds before.
func TestShortSilenceKeepsConnection(t *testing.T) {
	c := qt.New(t)
	connection := connect(c, 4*time.Second)
	time.Sleep(2 * time.Second)
	n, err := connection.Write(make([]byte, 64<<20))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 64<<20)
}

// TestDataThatIsNotAcknowledgedIsLost checks the options that end what a closed or stopped sender has
// under way.
func TestDataThatIsNotAcknowledgedIsLost(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	dialer := keepalive.NewCallDialer(time.Second, 500*time.Millisecond)
	connection, err := dialer.DialContext(context.Background(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Assert(option(c, connection, unix.TCP_USER_TIMEOUT), qt.Equals, 500)
	peer, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { peer.Close() })
	c.Assert(connection.Close(), qt.IsNil)
	_, err = peer.Read(make([]byte, 1))
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}
