package forwarding_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/core/detour"
	"acaciapath.example/core/memory"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// TestServersThatNobodyReachesAreBlamed has neighbours that do not reach backend servers either.
// Then the servers have failed, and what crashed them or that they return cold must not be ignored
// as if only the own path were cut off.
func TestServersThatNobodyReachesAreBlamed(t *testing.T) {
	c := qt.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var result atomic.Pointer[string]
	lender := loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Acaciapath-Forward-Result", *result.Load())
		if *result.Load() != "answered" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	c.Cleanup(lender.Close)
	a := forwarding.NewAsker("vm-1", "a", forwarding.NewMetrics(prometheus.NewRegistry()), logger, rand.New(rand.NewPCG(1, 2)))
	c.Assert(a.AllCutOff(time.Now()), qt.IsTrue)
	a.SetNeighbours([]detour.Neighbour{{Address: strings.TrimPrefix(lender.URL, "http://"), FailureDomain: "a"}})
	c.Assert(a.AllCutOff(time.Now()), qt.IsFalse)
	send := func(answer string) error {
		result.Store(&answer)
		response, _, err := a.Send(context.Background(), func() forwarding.Request {
			return forwarding.Request{
				Method: http.MethodGet, Target: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}, Body: &memory.Body{},
				Server: "s", Address: "127.0.0.1:1", Repeatable: true,
			}
		})
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	c.Assert(errors.Is(send("not-sent busy"), forwarding.ErrNoNeighbour), qt.IsTrue)
	c.Assert(a.AllCutOff(time.Now()), qt.IsFalse)
	time.Sleep(400 * time.Millisecond) // until it is asked again
	c.Assert(errors.Is(send("not-sent cut-off"), forwarding.ErrNoNeighbour), qt.IsTrue)
	c.Assert(a.AllCutOff(time.Now()), qt.IsTrue)
	time.Sleep(1100 * time.Millisecond) // until it is asked again
	c.Assert(send("answered"), qt.IsNil)
	c.Assert(a.AllCutOff(time.Now()), qt.IsFalse)
}
