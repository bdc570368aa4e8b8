package responses_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"acaciapath.example/core/responses"

	qt "github.com/frankban/quicktest"
)

// startServer starts a server that calls serve for each connection, and returns its URL.
func startServer(c *qt.C, serve func(connection *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			c.Cleanup(func() { _ = connection.Close() })
			go serve(connection.(*net.TCPConn))
		}
	}()
	return "http://" + listener.Addr().String() + "/"
}

// post sends a request with a body of the given size, and returns the body of the response.
func post(c *qt.C, url string, bytes int) (string, error) {
	transport := responses.NewTransport(&http.Transport{DialContext: new(net.Dialer).DialContext})
	c.Cleanup(transport.CloseIdleConnections)
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("u", bytes)))
	c.Assert(err, qt.IsNil)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

const unframedHead = "HTTP/1.1 200 OK\r\n\r\n"

// TestResponseEndsWithItsConnection has responses without a length end with their connections
// after the request was received. They are complete.
func TestResponseEndsWithItsConnection(t *testing.T) {
	for _, size := range []int{0, 1, 4096, 64 << 10, 1 << 20, 4 << 20} {
		c := qt.New(t)
		url := startServer(c, func(connection *net.TCPConn) {
			r, err := http.ReadRequest(bufio.NewReader(connection))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(connection, unframedHead+"whole")
			_ = connection.Close()
		})
		for range 20 {
			body, err := post(c, url, size)
			c.Assert(err, qt.IsNil, qt.Commentf("%d bytes", size))
			c.Assert(body, qt.Equals, "whole")
		}
	}
}
