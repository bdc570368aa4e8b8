package plain_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/plain"

	qt "github.com/frankban/quicktest"
)

func start(c *qt.C, options plain.Options) *plain.Service {
	s := plain.New(options)
	c.Assert(s.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return s
}

// renew sends a renewal and returns the HTTP status, or 0 if there was no
// response.
func renew(c *qt.C, s *plain.Service, key string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/shop/renewals", strings.NewReader(`{"subscriber":"s-1"}`))
	c.Assert(err, qt.IsNil)
	req.Header.Set(plain.HeaderIdempotencyKey, key)
	// net/http retries requests with an Idempotency-Key on reused connections, so
	// each request gets its own connection.
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	c.Assert(res.Body.Close(), qt.IsNil)
	return res.StatusCode
}

func TestExecutionsWithFaults(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name                  string
		checksIdempotency     bool
		faults                fault.Faults
		firstStatus           int
		executionsAfterFirst  int
		executionsAfterSecond int
	}{
		{name: "counts every execution", firstStatus: 200, executionsAfterFirst: 1, executionsAfterSecond: 2},
		{name: "checks the key", checksIdempotency: true, firstStatus: 200, executionsAfterFirst: 1, executionsAfterSecond: 1},
		{name: "down", faults: fault.Faults{Down: true}, firstStatus: 503, executionsAfterFirst: 0, executionsAfterSecond: 1},
		{name: "crash before executing", faults: fault.Faults{LoseRequests: 1}, firstStatus: 0, executionsAfterFirst: 0, executionsAfterSecond: 1},
		{name: "crash after executing", faults: fault.Faults{LoseReplies: 1}, firstStatus: 0, executionsAfterFirst: 1, executionsAfterSecond: 2},
		{name: "crashed", faults: fault.Faults{Crashed: true}, firstStatus: 0, executionsAfterFirst: 0, executionsAfterSecond: 1},
	} {
		c.Run(test.name, func(c *qt.C) {
			s := start(c, plain.Options{ChecksIdempotency: test.checksIdempotency, Faults: test.faults})
			c.Assert(renew(c, s, "k"), qt.Equals, test.firstStatus)
			c.Assert(s.Executions("k"), qt.Equals, test.executionsAfterFirst)
			s.SetFaults(fault.Faults{})
			c.Assert(renew(c, s, "k"), qt.Equals, http.StatusOK)
			c.Assert(s.Executions("k"), qt.Equals, test.executionsAfterSecond)
		})
	}
}

func TestFaultsAndLogByHTTP(t *testing.T) {
	c := qt.New(t)
	s := start(c, plain.Options{})
	res, err := http.Post("http://"+s.Address()+plain.PathFaults, "application/json", strings.NewReader(`{"slow":"1ms"}`))
	c.Assert(err, qt.IsNil)
	c.Assert(res.Body.Close(), qt.IsNil)
	c.Assert(res.StatusCode, qt.Equals, http.StatusNoContent)
	c.Assert(s.Injector().Faults().Delay > 0, qt.IsTrue)
	c.Assert(renew(c, s, "k"), qt.Equals, http.StatusOK)
	calls := s.Log().Entries()
	c.Assert(calls, qt.HasLen, 1)
	c.Assert(calls[0].Key, qt.Equals, "k")
	c.Assert(calls[0].Path, qt.Equals, "/shop/renewals")
}

func TestFrozenCallIsExecutedAfterUnfreeze(t *testing.T) {
	c := qt.New(t)
	s := start(c, plain.Options{Faults: fault.Faults{Frozen: true}})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+"/orders", strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	req.Header.Set(plain.HeaderIdempotencyKey, "k")
	_, err = http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNotNil)
	c.Assert(s.Executions("k"), qt.Equals, 0)
	s.SetFaults(fault.Faults{})
	for range 1000 {
		if s.Executions("k") == 1 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("the call was never executed")
}
