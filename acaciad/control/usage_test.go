package control_test

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/acaciad/control"
	"acaciapath.example/core/config"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/usage"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// TestUsageIsCountedInItsWindow has calls of the store take long and then fail while
// requests run, across the ends of several windows. Each request must be counted in
// the window in which it ran, however late its part is written.
func TestUsageIsCountedInItsWindow(t *testing.T) {
	c := qt.New(t)
	const window, step, windows = time.Second, 50 * time.Millisecond, 4
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	var storeDown atomic.Bool
	store.SetFault(func(string, string) platformtest.Fault {
		if storeDown.Load() {
			time.Sleep(window * 7 / 10) // longer than until the next part is closed
			return platformtest.ConnectionReset
		}
		return platformtest.NoFault
	})
	table := &platform.Table{Store: platform.NewStore(store.Address(), time.Second, platform.NewStoreTransport())}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	terms := lease.Terms{Name: "usage", Holder: "vm-1", Duration: time.Second}
	u := &control.Usage{
		Meter: usage.NewMeter(), Writer: usage.NewWriter(table, "vm-1", "a"), Logger: logger, StartHandOver: func() {},
		Keeper:  lease.NewKeeper(table, terms, time.Second, func() lease.Instant { return lease.Instant{Wall: time.Now()} }),
		Billing: config.Billing{Window: window},
	}
	ctx, cancel := context.WithCancel(c.Context())
	c.Cleanup(cancel)
	go u.RunParts(ctx)
	start := time.Now().Truncate(window).Add(window)
	time.Sleep(time.Until(start))
	want := make(map[time.Time]int)
	for now := start; now.Before(start.Add(windows * window)); now = now.Add(step) {
		time.Sleep(time.Until(now.Add(step / 2)))
		storeDown.Store(now.Sub(start) > window/5 && now.Sub(start) < (windows-1)*window-window/5)
		u.Meter.Add(usage.Key{ClientAccount: "a"}, usage.Work{Requests: 1}, usage.Price{})
		want[time.Now().Truncate(window)]++
	}
	time.Sleep(2 * window)
	got := make(map[time.Time]int)
	for _, row := range store.Rows("acaciapath", "control") {
		var part struct {
			Window time.Time `json:"window"`
			Lines  []struct {
				Requests int `json:"requests"`
			} `json:"lines"`
		}
		c.Assert(json.Unmarshal(row.Data, &part), qt.IsNil)
		for _, line := range part.Lines {
			got[part.Window.Local()] += line.Requests
		}
	}
	sum := 0
	for at, n := range want {
		diff := got[at.Local()] - n
		c.Check(diff >= -1 && diff <= 1, qt.IsTrue, qt.Commentf("%s: %d of %d", at, got[at.Local()], n))
		sum += n
	}
	for _, n := range got {
		sum -= n
	}
	c.Assert(sum, qt.Equals, 0)
}
