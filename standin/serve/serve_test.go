package serve_test

import (
	"io"
	"net/http"
	"testing"

	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/serve"

	qt "github.com/frankban/quicktest"
)

func TestCallerNameByPort(t *testing.T) {
	c := qt.New(t)
	s := serve.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, fault.RequestCaller(r))
	}))
	c.Cleanup(func() { c.Assert(s.Close(), qt.IsNil) })
	c.Assert(s.Start("127.0.0.1:0"), qt.IsNil)
	c.Assert(s.Start("127.0.0.1:0"), qt.ErrorIs, serve.ErrAlreadyStarted)
	namedAddress, err := s.StartFor("quito-1", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	for address, want := range map[string]string{s.Address(): "127.0.0.1", namedAddress: "quito-1"} {
		res, err := http.Get("http://" + address)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(res.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Body.Close(), qt.IsNil)
		c.Assert(string(body), qt.Equals, want)
	}
}
