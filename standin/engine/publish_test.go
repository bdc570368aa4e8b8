package engine

import (
	"testing"
	"time"

	"acaciapath.example/core/engine"

	qt "github.com/frankban/quicktest"
)

// testStart is the simulated time at which tests begin.
var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given seconds after testStart.
func at(seconds int) time.Time { return testStart.Add(time.Duration(seconds) * time.Second) }

func TestPublishedLoadLags(t *testing.T) {
	c := qt.New(t)
	l := loadHistory{lag: 10 * time.Second, snapshots: []engine.Load{{At: at(0)}}}
	l.add(engine.Load{At: at(2), Running: 1})
	l.add(engine.Load{At: at(3), Running: 2})
	l.add(engine.Load{At: at(20), Running: 3})
	for _, test := range []struct {
		now     int
		at      int
		running int
	}{
		{now: 20, at: 10, running: 2},
		{now: 29, at: 19, running: 2},
		{now: 30, at: 20, running: 3},
		{now: 90, at: 80, running: 3},
	} {
		load := l.published(at(test.now))
		c.Assert(load.At, qt.Equals, at(test.at))
		c.Assert(load.Running, qt.Equals, test.running)
	}
}

func TestCacheEventsLagAndGetLost(t *testing.T) {
	c := qt.New(t)
	e := cacheEventLog{lag: 10 * time.Second, dropEvery: 2}
	for i := range 5 {
		e.add(engine.CacheEvent{At: at(i), PrefixHash: uint64(i)})
	}
	for _, test := range []struct {
		now   int
		after uint64
		want  []uint64
	}{
		{now: 9, after: 0, want: nil},
		{now: 10, after: 0, want: []uint64{1}},
		{now: 13, after: 0, want: []uint64{1, 3}},
		{now: 30, after: 0, want: []uint64{1, 3, 5}},
		{now: 30, after: 3, want: []uint64{5}},
		{now: 30, after: 5, want: nil},
	} {
		var seqs []uint64
		for _, event := range e.after(test.after, at(test.now)) {
			seqs = append(seqs, event.Seq)
		}
		c.Assert(seqs, qt.DeepEquals, test.want)
	}
}

func TestAnswerLengthDistribution(t *testing.T) {
	c := qt.New(t)
	o := Options{}.withDefaults()
	const n = 2000
	sum, longest := 0, 0
	for seed := range uint64(n) {
		length := answerLength("", seed, &o)
		sum += length
		longest = max(longest, length)
	}
	mean := sum / n
	c.Assert(mean > o.MeanAnswerTokens*8/10 && mean < o.MeanAnswerTokens*12/10, qt.IsTrue, qt.Commentf("mean %d", mean))
	c.Assert(longest > 4*o.MeanAnswerTokens, qt.IsTrue)
	c.Assert(longest <= o.MaxAnswerTokens, qt.IsTrue)
}
