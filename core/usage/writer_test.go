package usage_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
)

// partOf returns a part with the given number of requests of chat.
func partOf(requests uint64) usage.Part {
	return usage.Part{Window: start, Lines: []usage.Line{{Key: chat, Work: usage.Work{Requests: requests}}}}
}

// requestsIn returns the requests in all parts of the table, by window.
func requestsIn(t *fakeTable) map[string]uint64 {
	sums := make(map[string]uint64)
	for key, row := range t.rows {
		var part usage.Part
		if !strings.HasPrefix(key, "usage/part/") || json.Unmarshal(row.Value, &part) != nil {
			continue
		}
		for _, line := range part.Lines {
			sums[usage.FormatWindowStart(part.Window)] += line.Requests
		}
	}
	return sums
}

func closeWindow(t *fakeTable, window time.Time) {
	t.rows[usage.ClosedKey(window)] = &table.Row{Key: usage.ClosedKey(window), Version: 1}
}

func TestWriterFormat(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	w := usage.NewWriter(service, "vm-1", "a1")
	w.Add(partOf(2))
	c.Assert(w.Flush(context.Background(), start, length), qt.IsNil)
	row := service.rows["usage/part/2026-01-01T00:00:00Z/vm-1/a1-00000001"]
	c.Assert(row, qt.IsNotNil)
	c.Assert(string(row.Value), qt.Equals, `{"window":"2026-01-01T00:00:00Z","lines":[`+
		`{"client-account":"quito","service-class":"chat","model":"m",`+
		`"requests":2,"prompt-tokens":0,"completion-tokens":0,"amount":0}]}`)
}

func TestWriterFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults []fault
		want   uint64
	}{
		{name: "outage", faults: []fault{faultUnavailable, faultUnavailable, faultUnavailable}},
		{name: "lost reply", faults: []fault{faultLostReply}},
		{name: "lost reply of the retry", faults: []fault{faultUnavailable, faultLostReply, faultUnavailable}},
		{name: "delayed", faults: []fault{faultDelayed, faultDelayed}},
	} {
		for _, closed := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				c := qt.New(t)
				service := newFakeTable()
				faults := test.faults
				service.nextFault = func(string) fault {
					if len(faults) == 0 {
						return faultNone
					}
					f := faults[0]
					faults = faults[1:]
					return f
				}
				w := usage.NewWriter(service, "vm-1", "a1")
				for len(faults) > 0 {
					w.Add(partOf(1))
					_ = w.Flush(context.Background(), start, length)
				}
				if closed {
					closeWindow(service, start)
				}
				w.Add(partOf(1))
				c.Assert(w.Flush(context.Background(), start.Add(length), length), qt.IsNil)
				service.applyDelayed()
				var sum uint64
				for _, requests := range requestsIn(service) {
					sum += requests
				}
				c.Assert(sum, qt.Equals, uint64(len(test.faults)+1))
				c.Assert(w.Pending(), qt.HasLen, 0)
			})
		}
	}
}

func TestWriterWithSlowClockSkipsClosedWindows(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	closeWindow(service, start)
	closeWindow(service, start.Add(length))
	w := usage.NewWriter(service, "vm-1", "a1")
	w.Add(partOf(1))
	c.Assert(w.Flush(context.Background(), start, length), qt.IsNil)
	c.Assert(requestsIn(service), qt.DeepEquals, map[string]uint64{"2026-01-01T00:02:00Z": 1})
}

func TestWriterMergesThroughOutage(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	service.nextFault = func(string) fault { return faultUnavailable }
	w := usage.NewWriter(service, "vm-1", "a1")
	for range 1000 {
		w.Add(partOf(1))
		c.Assert(w.Flush(context.Background(), start, length), qt.IsNotNil)
	}
	service.nextFault = nil
	c.Assert(w.Pending(), qt.DeepEquals, partOf(1000).Lines)
	c.Assert(w.Flush(context.Background(), start, length), qt.IsNil)
	c.Assert(service.commits, qt.Equals, 2)
}

// TestWriterOfPartWithoutWindow adds a part with a zero Window, and parts without lines.
func TestWriterOfPartWithoutWindow(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	w := usage.NewWriter(service, "vm-1", "a1")
	w.Add(usage.Part{Window: start})
	c.Assert(w.Flush(context.Background(), start, length), qt.IsNil)
	c.Assert(service.rows, qt.HasLen, 0)
	w.Add(usage.Part{Window: start, Final: true})
	c.Assert(w.Flush(context.Background(), start, length), qt.IsNil)
	c.Assert(service.rows, qt.HasLen, 1)
	part := partOf(2)
	part.Window = time.Time{}
	w.Add(part)
	c.Assert(w.Flush(context.Background(), start.Add(length), length), qt.IsNil)
	c.Assert(requestsIn(service), qt.DeepEquals, map[string]uint64{usage.FormatWindowStart(start.Add(length)): 2})
}

// TestWriterKeepsWindowsThroughOutage lets two windows end while the table is
// unavailable. Their usage must go into their own windows, which are still open.
func TestWriterKeepsWindowsThroughOutage(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	down := true
	service.nextFault = func(string) fault {
		if down {
			return faultUnavailable
		}
		return faultNone
	}
	w := usage.NewWriter(service, "vm-1", "a1")
	next := start.Add(length)
	w.Add(partOf(2))
	c.Assert(w.Flush(context.Background(), start, length), qt.IsNotNil)
	later := partOf(3)
	later.Window = next
	w.Add(later)
	c.Assert(w.Flush(context.Background(), next, length), qt.IsNotNil)
	down = false
	c.Assert(w.Flush(context.Background(), next.Add(length), length), qt.IsNil)
	c.Assert(requestsIn(service), qt.DeepEquals, map[string]uint64{
		usage.FormatWindowStart(start): 2,
		usage.FormatWindowStart(next):  3,
	})
}
