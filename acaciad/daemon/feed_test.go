package daemon

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

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
