package usage_test

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// commitRecorder is a table service that records the last commit and rejects all.
type commitRecorder struct {
	*fakeTable
	commit *table.CommitPayload
}

func (r *commitRecorder) Commit(_ context.Context, p *table.CommitPayload) ([]*table.Row, error) {
	r.commit = p
	return nil, table.MakeUnavailable(errNoReply)
}

// partCommit returns the commit by which the Writer of a VM inserts a part.
func partCommit(vm string, part usage.Part) *table.CommitPayload {
	recorder := &commitRecorder{fakeTable: newFakeTable()}
	w := usage.NewWriter(recorder, vm, "a")
	w.Add(part)
	_ = w.Flush(context.Background(), part.Window, length)
	return recorder.commit
}

// totalRequests returns the requests in all parts of the table.
func totalRequests(t *fakeTable) uint64 {
	total := uint64(0)
	for _, n := range requestsIn(t) {
		total += n
	}
	return total
}

// TestAdoptedPartIsCountedOnce has a part of a VM that has shut down arrive after its
// window was closed. Two other VMs adopt it. Its usage must be counted once, in an open
// window, whatever calls fail or take effect late.
func TestAdoptedPartIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := newFakeTable()
		commit := partCommit("vm-0", partOf(11))
		if rapid.Bool().Draw(t, "inserted-before") {
			if _, err := service.apply(commit); err != nil {
				t.Fatal(err)
			}
		}
		closeWindow(service, start)
		service.nextFault = func(method string) fault {
			if method == "commit" {
				return rapid.SampledFrom([]fault{faultNone, faultUnavailable, faultLostReply, faultDelayed}).Draw(t, "fault")
			}
			return rapid.SampledFrom([]fault{faultNone, faultUnavailable}).Draw(t, "fault")
		}
		writers := []*usage.Writer{usage.NewWriter(service, "vm-1", "a"), usage.NewWriter(service, "vm-2", "a")}
		for _, w := range writers {
			if err := w.Adopt(commit); err != nil {
				t.Fatal(err)
			}
		}
		now := start.Add(length)
		for range 6 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				closeWindow(service, usage.WindowStart(now, length))
				now = now.Add(length)
			case 1:
				service.applyDelayed()
			default:
				_ = rapid.SampledFrom(writers).Draw(t, "writer").Flush(context.Background(), now, length)
			}
		}
		service.nextFault = nil
		for _, w := range writers {
			if err := w.Flush(context.Background(), now, length); err != nil {
				t.Fatal(err)
			}
		}
		service.applyDelayed()
		if got := totalRequests(service); got != 11 {
			t.Fatalf("%d requests are counted, want 11: %v", got, requestsIn(service))
		}
	})
}

// TestAdoptedPartIsAdoptedAgain has a VM shut down that has adopted a part. The commit
// with which it tried to write the part, and the original one, are adopted by two
// others, which must count the usage once.
func TestAdoptedPartIsAdoptedAgain(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	original := partCommit("vm-0", partOf(11))
	recorder := &commitRecorder{fakeTable: service}
	first := usage.NewWriter(recorder, "vm-1", "a")
	c.Assert(first.Adopt(original), qt.IsNil)
	c.Assert(first.Flush(context.Background(), start.Add(length), length), qt.IsNotNil)
	closeWindow(service, start)
	closeWindow(service, start.Add(length))
	for i, commit := range []*table.CommitPayload{original, recorder.commit, original} {
		w := usage.NewWriter(service, "vm-"+string(rune('2'+i)), "a")
		c.Assert(w.Adopt(commit), qt.IsNil)
		c.Assert(w.Flush(context.Background(), start.Add(2*length), length), qt.IsNil)
	}
	c.Assert(requestsIn(service), qt.DeepEquals, map[string]uint64{usage.FormatWindowStart(start.Add(2 * length)): 11})
}

// TestReportedPartIsNotAdoptedAgainAfterRestores has a VM adopt a part, which is reported, and
// the table restored twice from a backup without it. Another VM that gets the same part each
// time must not count it again.
func TestReportedPartIsNotAdoptedAgainAfterRestores(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	service := newFakeTable()
	commit := partCommit("vm-0", partOf(11))
	closeWindow(service, start)
	backup := maps.Clone(service.rows)
	first := usage.NewWriter(service, "vm-1", "a")
	c.Assert(first.Adopt(commit), qt.IsNil)
	c.Assert(first.Flush(ctx, start.Add(length), length), qt.IsNil)
	c.Assert(totalRequests(service), qt.Equals, uint64(11))
	reported := usage.Announcement{First: start, Window: start.Add(length)}
	for i, vm := range []string{"vm-2", "vm-3"} {
		service.rows = maps.Clone(backup)
		first.HandleRestore(reported, length)
		now := start.Add(time.Duration(2+i) * length)
		c.Assert(first.Flush(ctx, now, length), qt.IsNil)
		w := usage.NewWriter(service, vm, "a")
		c.Assert(w.Adopt(commit), qt.IsNil)
		c.Assert(w.Flush(ctx, now, length), qt.IsNil)
		c.Check(totalRequests(service), qt.Equals, uint64(0))
	}
}

// TestAdoptRejectsOtherCommits checks that only commits that insert a part are adopted,
// and that their number is bounded.
func TestAdoptRejectsOtherCommits(t *testing.T) {
	c := qt.New(t)
	w := usage.NewWriter(newFakeTable(), "vm-1", "a")
	for _, write := range []*table.Write{
		{Key: "neighbour/z/vm-0", Value: []byte("{}")},
		{Key: "usage/part/2026-01-01T00:00:00Z/vm-0/a", Value: []byte("x")},
		{Key: "usage/part/2026-01-01T00:00:00Z/vm-0/a", Delete: true},
	} {
		c.Check(w.Adopt(&table.CommitPayload{Writes: []*table.Write{write}}), qt.ErrorIs, usage.ErrMalformedRow)
	}
	c.Check(w.Adopt(&table.CommitPayload{}), qt.ErrorIs, usage.ErrMalformedRow)
	var err error
	for range 1000 {
		if err = w.Adopt(partCommit("vm-0", partOf(1))); err != nil {
			break
		}
	}
	c.Assert(err, qt.ErrorIs, usage.ErrTooManyAdopted)
}

// TestPruneDeletesMarks checks that marks of adopted parts are deleted once their window
// is old enough.
func TestPruneDeletesMarks(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	r := usage.NewReporter(service, &fakePlatform{}, &fakeHolder{grant: acquireLease(service, "one")})
	w := usage.NewWriter(service, "vm-1", "a")
	closeWindow(service, start)
	c.Assert(w.Adopt(partCommit("vm-0", partOf(1))), qt.IsNil)
	c.Assert(w.Flush(context.Background(), start.Add(length), length), qt.IsNil)
	marks := func() (n int) {
		for key, row := range service.rows {
			if strings.HasPrefix(key, "usage/adopted/") && json.Valid(row.Value) {
				n++
			}
		}
		return n
	}
	c.Assert(marks(), qt.Equals, 1)
	_, err := r.Prune(context.Background(), start.Add(25*time.Hour))
	c.Assert(err, qt.IsNil)
	c.Assert(marks(), qt.Equals, 1)
	_, err = r.Prune(context.Background(), start.Add(27*time.Hour))
	c.Assert(err, qt.IsNil)
	c.Assert(marks(), qt.Equals, 0)
}
