package neighbours_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/core/detour"
	"acaciapath.example/core/follow"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/platform"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// TestDaemonsThatStartTogetherFindEachOther has a daemon read the rows when only some of
// the others have written theirs. It must know the rest soon, since the ones that it
// knows may shut down, and its last writes could then be handed over to nobody.
func TestDaemonsThatStartTogetherFindEachOther(t *testing.T) {
	p := newPair(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var known atomic.Int64
	start := func(vm string, onUpdate func([]detour.Neighbour)) {
		r := &neighbours.Registry{
			VM: vm, FailureDomain: "z", Address: "10.0.0.1:1" + vm[3:], Table: &platform.Table{Store: p.client},
			OnUpdate: onUpdate, OnMembers: func([]follow.Member) {}, Logger: logger, Random: rand.New(rand.NewPCG(1, 2)),
		}
		ctx, cancel := context.WithCancel(p.Context())
		p.Cleanup(cancel)
		go r.Run(ctx)
	}
	eventually := func(want int64) {
		p.Helper()
		for end := time.Now().Add(10 * time.Second); known.Load() != want; time.Sleep(10 * time.Millisecond) {
			p.Assert(time.Now().Before(end), qt.IsTrue)
		}
	}
	ignore := func([]detour.Neighbour) {}
	start("vm-2", ignore)
	for len(p.store.Rows("acaciapath", "control")) == 0 {
		time.Sleep(time.Millisecond)
	}
	start("vm-1", func(n []detour.Neighbour) { known.Store(int64(len(n))) })
	eventually(1)
	start("vm-3", ignore)
	eventually(2)
}

// TestLastWriteIsSentDirectly has a daemon that shuts down know no neighbour, or only one
// that refuses its write. It must send the write to the store itself once that is
// available. If a neighbour may have accepted the write, it must not.
func TestLastWriteIsSentDirectly(t *testing.T) {
	for name, test := range map[string]struct {
		neighbour http.HandlerFunc
		direct    bool
	}{
		"no neighbour": {direct: true},
		"refuses":      {neighbour: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, direct: true},
		"no answer":    {neighbour: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.transport.SetNeighbours(nil)
			if test.neighbour != nil {
				server := loopback.NewServer(test.neighbour)
				p.Cleanup(server.Close)
				p.transport.SetNeighbours([]detour.Neighbour{{Address: strings.TrimPrefix(server.URL, "http://"), FailureDomain: "z"}})
			}
			p.transport.StartHandOver()
			commit := &table.CommitPayload{Conditions: []*table.Condition{{Key: "part"}}, Writes: []*table.Write{{Key: "part", Value: []byte("x")}}}
			_, err := (&platform.Table{Store: p.client}).Commit(p.Context(), commit)
			p.Assert(err == nil, qt.Equals, test.direct)
			p.Assert(len(p.store.Rows("acaciapath", "control")) == 1, qt.Equals, test.direct)
		})
	}
}
