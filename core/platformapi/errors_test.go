package platformapi_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"acaciapath.example/core/platformapi"

	qt "github.com/frankban/quicktest"
)

// stoppedAddress is an address without a listener. The system never assigns its port
// to a socket that does not ask for it.
const stoppedAddress = "127.0.0.1:1"

func TestReason(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer unresponsive.Close()
	defer close(release)
	closing := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer closing.Close()
	for _, test := range []struct {
		name, address, want string
		timeout             time.Duration
	}{
		{name: "stopped", address: stoppedAddress, want: "the connection was refused", timeout: time.Minute},
		{name: "closing", address: closing.Listener.Addr().String(), want: "the connection was closed", timeout: time.Minute},
		{name: "unresponsive", address: unresponsive.Listener.Addr().String(), want: "no answer within the timeout", timeout: 50 * time.Millisecond},
	} {
		c.Run(test.name, func(c *qt.C) {
			_, err := platformapi.New(test.address, test.timeout).VMs.List(context.Background())
			c.Assert(err, qt.IsNotNil)
			c.Assert(platformapi.Reason(err), qt.Equals, test.want)
		})
	}
	c.Assert(platformapi.Reason(errors.New("other")), qt.Equals, "other")
	c.Assert(platformapi.Reason(io.EOF), qt.Equals, "the connection was closed")
}
