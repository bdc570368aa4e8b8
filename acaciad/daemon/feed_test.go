package daemon

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"acaciapath.example/core/follow"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// TestFeedOfManyChanges has more rows change at once than fit into one response, as when
// a large service is deployed or evicted. The remaining rows must be read at once, not
// after the gap that keeps daemons from calling once for each change.
func TestFeedOfManyChanges(t *testing.T) {
	c := qt.New(t)
	const pause, rows, pages = 2 * time.Second, 1600, 4
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	store.Write(platform.TableServers, "first", nil)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	applied := make(chan int, rows)
	f := newFeed("vm-1", platform.TableServers, platform.Settings{}, platform.NewStore(store.Address(), pause, platform.NewStoreTransport()), logger)
	f.holdTime, f.gap = pause, pause
	f.apply = func(rows []platform.Row, _ bool) bool { applied <- len(rows); return false }
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go f.run(ctx)
	c.Assert(<-applied, qt.Equals, 1)
	for i := range rows {
		store.Write(platform.TableServers, fmt.Sprint(i), nil)
	}
	began := time.Now()
	for rowsRead := 0; rowsRead < rows; {
		select {
		case n := <-applied:
			rowsRead += n
		case <-time.After(pages * pause):
			c.Fatalf("only %d of %d rows were read", rowsRead, rows)
		}
	}
	c.Assert(time.Since(began) < (pages-1)*pause, qt.IsTrue)
}

// TestFollowerWaitsAlthoughStoreAnswers has a daemon whose readers are gone learn from
// another call that the store answers again. It must read its table at once, not only when
// the pause after its own failed call ends.
func TestFollowerWaitsAlthoughStoreAnswers(t *testing.T) {
	c := qt.New(t)
	const timeout = 500 * time.Millisecond
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	store.Write(platform.TableServers, "first", nil)
	var members []follow.Member
	for i := range follow.MinMembers {
		members = append(members, follow.Member{VM: fmt.Sprintf("vm-%d", i), Address: "127.0.0.1:1", Cores: 4})
	}
	members = append(members, follow.Member{VM: "follower", Address: "127.0.0.1:1", Cores: 1})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := platform.NewStore(store.Address(), timeout, platform.NewStoreTransport())
	f := newFeed("follower", platform.TableServers, platform.Settings{ServerDrain: followBound}, client, logger)
	f.setMembers(members)
	applied, failed := make(chan int, 100), make(chan bool, 100)
	f.apply = func(rows []platform.Row, _ bool) bool { applied <- len(rows); return false }
	f.storeFailed = func(time.Time) { failed <- true }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); f.run(ctx) }()
	c.Cleanup(func() { cancel(); <-ended })
	c.Assert(<-applied, qt.Equals, 1)
	store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	<-failed
	store.SetFault(nil)
	store.Write(platform.TableServers, "second", nil)
	other := platform.NewStore(store.Address(), timeout, platform.NewStoreTransport())
	other.Epochs = client.Epochs
	c.Assert(other.Ping(ctx), qt.IsNil)
	select {
	case n := <-applied:
		c.Assert(n, qt.Equals, 1)
	case <-time.After(followerStorePause / 2):
		c.Fatal("the follower has not read the store, which answers")
	}
}
