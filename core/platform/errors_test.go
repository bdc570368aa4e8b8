package platform_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"acaciapath.example/core/platform"

	qt "github.com/frankban/quicktest"
)

// absent is an address that nothing listens on. The system gives its port to nobody who
// does not name it.
const absent = "127.0.0.1:1"

func TestReason(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	frozen := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer frozen.Close()
	defer close(release)
	closing := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer closing.Close()
	for _, test := range []struct {
		name, address, want string
		timeout             time.Duration
	}{
		{name: "absent", address: absent, want: "the connection was refused", timeout: time.Minute},
		{name: "closing", address: closing.Listener.Addr().String(), want: "the connection was closed", timeout: time.Minute},
		{name: "frozen", address: frozen.Listener.Addr().String(), want: "no answer within the timeout", timeout: 50 * time.Millisecond},
	} {
		c.Run(test.name, func(c *qt.C) {
			_, err := platform.New(test.address, test.timeout).VMs.List(context.Background())
			c.Assert(err, qt.IsNotNil)
			c.Assert(platform.Reason(err), qt.Equals, test.want)
		})
	}
	c.Assert(platform.Reason(errors.New("other")), qt.Equals, "other")
	c.Assert(platform.Reason(io.EOF), qt.Equals, "the connection was closed")
}
