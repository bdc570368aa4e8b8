package reader_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"acaciapath.example/acaciad/reader"
	"acaciapath.example/core/follow"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

const (
	table   = "servers"
	silence = 400 * time.Millisecond
	// waitLimit is long enough for every condition in these tests on a busy machine.
	waitLimit = 10 * time.Second
)

// serve serves a publisher and returns its address.
func serve(c *qt.C, p *reader.Publisher) string {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server := loopback.NewServer(&reader.Handler{Publishers: map[string]*reader.Publisher{table: p}, Logger: logger})
	c.Cleanup(server.Close)
	c.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// follower follows a reader in the background.
type follower struct {
	news  chan follow.News
	ended chan error
}

func startFollower(c *qt.C, address string, after uint64) *follower {
	f := &follower{news: make(chan follow.News, 100), ended: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go func() {
		f.ended <- reader.NewClient().Follow(ctx, address, table, after, silence, func(n follow.News) { f.news <- n })
	}()
	return f
}

// next returns the next news.
func (f *follower) next(c *qt.C) follow.News {
	c.Helper()
	select {
	case n := <-f.news:
		return n
	case err := <-f.ended:
		c.Fatalf("the follower has ended: %v", err)
	case <-time.After(waitLimit):
		c.Fatal("no news")
	}
	return follow.News{}
}

// end returns the error with which the follower ended.
func (f *follower) end(c *qt.C) error {
	c.Helper()
	select {
	case err := <-f.ended:
		return err
	case <-time.After(waitLimit):
		c.Fatal("the follower has not ended")
	}
	return nil
}

func change(version uint64) follow.News {
	return follow.News{Version: version, Entries: []follow.Entry{{Key: fmt.Sprint("k", version), Data: []byte("x"), Version: version}}}
}

// TestFollow checks that followers get the rows, then each change and confirmation, and
// that the stream ends when the daemon stops reading.
func TestFollow(t *testing.T) {
	c := qt.New(t)
	p := reader.NewPublisher()
	address := serve(c, p)
	p.Record(follow.News{Snapshot: true, Version: 5, Entries: []follow.Entry{{Key: "a", Data: []byte("x"), Version: 3}}}, true, time.Now())
	first, second := startFollower(c, address, 0), startFollower(c, address, 5)
	c.Assert(first.next(c).Snapshot, qt.IsTrue)
	c.Assert(second.next(c), qt.DeepEquals, follow.News{Version: 5})
	for p.Followers() < 2 {
		time.Sleep(time.Millisecond)
	}
	p.Record(change(7), true, time.Now())
	c.Assert(first.next(c), qt.DeepEquals, change(7))
	c.Assert(second.next(c), qt.DeepEquals, change(7))
	p.Record(follow.News{Version: 7, Restored: true}, true, time.Now())
	c.Assert(first.next(c), qt.DeepEquals, follow.News{Version: 7, Restored: true})
	p.Stop()
	c.Assert(first.end(c), qt.ErrorIs, reader.ErrEnded)
	for p.Followers() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestReaderThatIsBehindRefuses checks that a daemon that does not read the table, or
// that is behind a follower, does not serve it.
func TestReaderThatIsBehindRefuses(t *testing.T) {
	c := qt.New(t)
	p := reader.NewPublisher()
	address := serve(c, p)
	c.Assert(startFollower(c, address, 0).end(c), qt.IsNotNil)
	p.Record(follow.News{Snapshot: true, Version: 5}, false, time.Now())
	c.Assert(startFollower(c, address, 5).end(c), qt.IsNotNil)
	p.Record(follow.News{Version: 6}, true, time.Now())
	behind := startFollower(c, address, 7)
	c.Assert(behind.end(c), qt.IsNotNil)
	c.Assert(behind.news, qt.HasLen, 0)
	p.Record(follow.News{Version: 6}, true, time.Now())
	c.Assert(startFollower(c, address, 6).next(c).Version, qt.Equals, uint64(6))
	response, err := http.Get("http://" + address + reader.Path + "?table=op&after=0")
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusNotFound)
}

// TestSilentReader checks that a follower leaves a reader that sends nothing, and one
// whose news are old by its wall clock although its monotonic clock stood still.
func TestSilentReader(t *testing.T) {
	c := qt.New(t)
	p := reader.NewPublisher()
	address := serve(c, p)
	p.Record(follow.News{Snapshot: true, Version: 5}, true, time.Now())
	f := startFollower(c, address, 0)
	f.next(c)
	c.Assert(f.end(c), qt.ErrorIs, reader.ErrSilent)
	p.Record(follow.News{Version: 5}, true, time.Now().Round(0).Add(-2*silence))
	c.Assert(startFollower(c, address, 5).end(c), qt.ErrorIs, reader.ErrSilent)
}

// TestInvalidReader has a daemon send something else than news: without end, byte by byte,
// and of an older version. The follower must leave it in time, and bound its memory.
func TestInvalidReader(t *testing.T) {
	line := `{"version":9}` + "\n"
	for name, send := range map[string]func(w io.Writer) error{
		"a line without end": func(w io.Writer) error { _, err := io.WriteString(w, strings.Repeat("x", 64<<10)); return err },
		"spaces without end": func(w io.Writer) error { _, err := io.WriteString(w, strings.Repeat(" ", 64<<10)); return err },
		"byte by byte": func(w io.Writer) error {
			time.Sleep(50 * time.Millisecond)
			_, err := io.WriteString(w, " ")
			return err
		},
		"an older version": func(w io.Writer) error { _, err := io.WriteString(w, `{"version":3}`+"\n"); return err },
		"no JSON":          func(w io.Writer) error { _, err := io.WriteString(w, "news\n"); return err },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.WriteString(w, line)
				for err == nil && r.Context().Err() == nil {
					err = send(w)
					w.(http.Flusher).Flush()
				}
			}))
			c.Cleanup(server.Close)
			c.Cleanup(server.CloseClientConnections)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			err := startFollower(c, strings.TrimPrefix(server.URL, "http://"), 5).end(c)
			c.Assert(err, qt.IsNotNil)
			c.Assert(errors.Is(err, reader.ErrSilent) || time.Since(began) < silence, qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(time.Since(began) < 2*silence+time.Second, qt.IsTrue)
			runtime.ReadMemStats(&after)
			c.Assert(int64(after.HeapAlloc)-int64(before.HeapAlloc) < 32<<20, qt.IsTrue)
		})
	}
}
