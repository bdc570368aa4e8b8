package proxy_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// newUnframedFixture returns a fixture as newMoveFixture does, with two engines whose streams
// end with their connections.
func newUnframedFixture(t *testing.T) (f *fixture, one, two *platformtest.Server) {
	f, one, two = newMoveFixture(t)
	one.SetUnframed(true)
	two.SetUnframed(true)
	return f, one, two
}

// checkNotComplete checks that an answer has the first events of the stream at most and does not
// look complete.
func (f *fixture) checkNotComplete(a answer) {
	f.Helper()
	f.Check(a.err, qt.IsNotNil, qt.Commentf("%d bytes of %d", len(a.body), len(events(1, longStreamEvents))))
	f.Check(strings.HasPrefix(events(1, longStreamEvents), a.body), qt.IsTrue)
}

// TestStoppedRunDoesNotEndItsStream has a run stopped by the daemon's own request, whose stream
// ends with its connection. The part of the stream must not look complete.
func TestStoppedRunDoesNotEndItsStream(t *testing.T) {
	t.Run("answer lost", func(t *testing.T) {
		f, one, two := newUnframedFixture(t)
		one.SetLoseFinalAnswers(true)
		answers := f.startLongStream("/quote/", one, two)
		f.drainEngine(one)
		f.checkNotComplete(<-answers)
		f.Check(runCount(two), qt.Equals, 0)
	})
	t.Run("answer lost, stream may be repeated", func(t *testing.T) {
		f, one, two := newUnframedFixture(t)
		one.SetLoseFinalAnswers(true)
		answers := f.startLongStream("/reply/", one, two)
		f.drainEngine(one)
		f.checkComplete(<-answers)
		f.Check(two.ReceivedRequests()[0].Header.Get("Last-Event-Id"), qt.Not(qt.Equals), "")
	})
	t.Run("answer after the end of the connection", func(t *testing.T) {
		f, one, two := newUnframedFixture(t)
		one.SetFinalAnswerDelay(5 * eventInterval)
		answers := f.startLongStream("/quote/", one, two)
		f.drainEngine(one)
		f.checkComplete(<-answers)
		f.Check(receivedCount(two), qt.Equals, 1)
		f.Check(f.meteredRequests(), qt.Equals, uint64(1))
	})
	t.Run("no room for the last copy", func(t *testing.T) {
		f, one, two := newUnframedFixture(t)
		two.SetRejectFinalCopies(true)
		answers := f.startLongStream("/quote/", one, two)
		f.drainEngine(one)
		f.checkNotComplete(<-answers)
	})
}

// TestRunThatEndsBeforeItIsStopped has an engine that drains end a run of an unframed stream by
// itself, whether or not the daemon is about to stop it. The answer is complete.
func TestRunThatEndsBeforeItIsStopped(t *testing.T) {
	for _, notice := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, drainNotice, 1300 * time.Millisecond, 1600 * time.Millisecond} {
		t.Run(notice.String(), func(t *testing.T) {
			t.Parallel()
			f, one, two := newUnframedFixture(t)
			answers := f.startLongStream("/quote/", one, two)
			one.SetDraining(notice)
			f.specs[0].Draining = true
			f.directory.SetServers(f.specs, time.Now())
			f.checkComplete(<-answers)
			f.Check(receivedCount(one), qt.Equals, 1)
		})
	}
}

// TestUnframedStreamEndsOnce has an unframed stream of an engine that does not drain end with its
// connection.
func TestUnframedStreamEndsOnce(t *testing.T) {
	f, one, _ := newUnframedFixture(t)
	r := f.request(f.Context(), http.MethodPost, "/quote/", "x")
	r.Header.Set("X-Deadline-Ms", "10000")
	f.checkComplete(f.do(r))
	f.Check(receivedCount(one), qt.Equals, 1)
}
