package usage_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
)

// manyAccounts returns a line with one request for each of n client accounts.
func manyAccounts(n int) []usage.Line {
	lines := make([]usage.Line, n)
	for i := range lines {
		key := usage.Key{ClientAccount: fmt.Sprintf("account-%05d", i), ServiceClass: "pattern-chat", Model: "asistente"}
		lines[i] = usage.Line{Key: key, Work: usage.Work{Requests: 1}}
	}
	return lines
}

// TestManyClientAccounts has more client accounts than fit into a row of the table. Neither their parts nor the
// totals of the window were ever written, and no later window was reported. Calls fail at random.
func TestManyClientAccounts(t *testing.T) {
	const accounts, rowBytes = 2000, 48 << 10
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			service := newFakeTable()
			service.rowBytes = rowBytes
			service.nextFault = func(string) fault {
				if random.IntN(5) > 0 || seed == 0 {
					return faultNone
				}
				return []fault{faultUnavailable, faultLostReply}[random.IntN(2)]
			}
			platform := &fakePlatform{nextFault: service.nextFault}
			r := usage.NewReporter(service, platform, &fakeHolder{grant: acquireLease(service, "vm-0")})
			r.RowBytes = rowBytes
			for i := range 3 {
				w := usage.NewWriter(service, fmt.Sprintf("vm-%d", i), "a1")
				w.RowBytes = rowBytes
				w.Add(usage.Part{Window: start, Lines: manyAccounts(accounts), Final: true})
				for n := 0; w.Flush(c.Context(), start, length) != nil; n++ {
					c.Assert(n < 200, qt.IsTrue)
				}
			}
			for n := 0; len(platform.reports) < 3; n++ {
				c.Assert(n < 200, qt.IsTrue)
				_, _ = r.Settle(c.Context(), start.Add(time.Hour), billing) // repeated after an error
			}
			c.Assert(platform.reports[0].Window, qt.Equals, usage.FormatWindowStart(start))
			for _, report := range platform.reports {
				if report.Window == usage.FormatWindowStart(start) {
					c.Assert(report.Lines, qt.HasLen, accounts)
					for _, line := range report.Lines {
						c.Assert(line.Requests, qt.Equals, uint64(3))
					}
				}
			}
			for key, row := range service.rows {
				c.Assert(len(row.Value) <= rowBytes, qt.IsTrue, qt.Commentf("%s has %d bytes", key, len(row.Value)))
			}
			// An earlier build must not take the row for the totals.
			c.Assert(json.Unmarshal(service.rows[usage.WindowKey(start)].Value, &usage.Window{}), qt.IsNotNil)
		})
	}
}

// TestLateWriterOfLargeWindow has a part whose answer was lost and whose window was settled since. It is known to
// be counted, and one that came too late is not.
func TestLateWriterOfLargeWindow(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	service.rowBytes = 4 << 10
	faults := []fault{faultLostReply}
	service.nextFault = func(method string) fault {
		if method != "commit" || len(faults) == 0 {
			return faultNone
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
	w := usage.NewWriter(service, "vm-1", "a1")
	w.RowBytes = service.rowBytes
	w.Add(usage.Part{Window: start, Lines: manyAccounts(20)})
	c.Assert(w.Flush(c.Context(), start, length), qt.IsNotNil) // no answer
	other := usage.NewWriter(service, "vm-2", "a1")
	other.RowBytes = service.rowBytes
	other.Add(usage.Part{Window: start, Lines: manyAccounts(300)})
	c.Assert(other.Flush(c.Context(), start, length), qt.IsNil)
	r := usage.NewReporter(service, &fakePlatform{}, &fakeHolder{grant: acquireLease(service, "vm-0")})
	r.RowBytes = service.rowBytes
	window, err := r.Settle(c.Context(), start.Add(length+billing.Grace), billing)
	c.Assert(err, qt.IsNil)
	c.Assert(window.Lines, qt.HasLen, 300)
	c.Assert(w.Flush(c.Context(), start, length), qt.IsNil)
	c.Assert(w.Pending(), qt.HasLen, 0)
	w.Add(usage.Part{Window: start, Lines: manyAccounts(1)})
	c.Assert(w.Flush(c.Context(), start, length), qt.IsNil)
	later := 0
	for key := range service.rows {
		if strings.HasPrefix(key, "usage/part/") {
			later++
		}
	}
	c.Assert(later, qt.Equals, 1)
	c.Assert(requestsIn(service)[usage.FormatWindowStart(start)], qt.Equals, uint64(0))
}
