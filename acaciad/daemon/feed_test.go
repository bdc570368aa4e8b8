package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/core/follow"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

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

// TestAnswerThatWaitsIsNotNew has an answer of the store that nothing has changed arrive late, as
// on a VM that stands still while the answer waits in its buffers. The rows must not count as up
// to date: the version of a server may have been added since, and streams that began there were
// taken for those of the old version (ORDER).
func TestAnswerThatWaitsIsNotNew(t *testing.T) {
	c := qt.New(t)
	const hold, held = 200 * time.Millisecond, 2 * time.Second
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	store.Write(platform.TableServers, "first", nil)
	var delay atomic.Int64
	target := &url.URL{Scheme: "http", Host: store.Address()}
	link := loopback.NewServer(&httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target) },
		ModifyResponse: func(*http.Response) error {
			time.Sleep(time.Duration(delay.Load()))
			return nil
		},
	})
	c.Cleanup(link.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f := newFeed("vm-1", platform.TableServers, platform.Settings{}, platform.NewStore(link.Listener.Addr().String(), 5*time.Second, platform.NewStoreTransport()), logger)
	f.holdTime, f.gap = hold, hold
	f.apply = func([]platform.Row, bool) bool { return false }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); f.run(ctx) }()
	c.Cleanup(func() { cancel(); <-ended })
	time.Sleep(5 * hold)
	c.Assert(f.newsAge(time.Now()) < 3*hold, qt.IsTrue)
	delay.Store(int64(held))
	time.Sleep(2 * hold) // the next call is being answered
	seen := 0
	for end := time.Now().Add(2 * held); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := time.Now()
		if f.age(now) < hold/4 { // an answer has just arrived
			seen++
			c.Assert(f.newsAge(now) >= held-hold, qt.IsTrue, qt.Commentf("%s", f.newsAge(now)))
		}
	}
	c.Assert(seen > 0, qt.IsTrue)
}
