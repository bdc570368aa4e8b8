package usage_test

import (
	"sync"
	"testing"
	"time"

	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const length = time.Minute

var chat = usage.Key{ClientAccount: "quito", ServiceClass: "chat", Model: "m"}

func TestMeterCarriesRemainders(t *testing.T) {
	c := qt.New(t)
	m := usage.NewMeter()
	price := usage.Price{Prompt: 400_000, Completion: 300_000, Call: 2}
	work := usage.Work{Requests: 1, PromptTokens: 1, CompletionTokens: 1}
	var amounts []int64
	for range 10 {
		m.Add(chat, work, price)
		part := m.TakePart(start.Add(90*time.Second), length)
		c.Assert(part.Window, qt.Equals, start.Add(time.Minute))
		c.Assert(part.Lines, qt.HasLen, 1)
		c.Assert(part.Lines[0].Work, qt.Equals, work)
		amounts = append(amounts, part.Lines[0].Amount)
	}
	c.Assert(amounts, qt.DeepEquals, []int64{2, 3, 3, 2, 3, 3, 2, 3, 3, 3})
	c.Assert(m.TakePart(start, length).Lines, qt.HasLen, 0)
}

// TestMeterConserves checks that the parts taken from a meter together have all
// tokens that were added, and the exact charge rounded down once.
func TestMeterConserves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := usage.NewMeter()
		var exact, charged int64
		var added, taken usage.Work
		take := func() {
			for _, line := range m.TakePart(start, length).Lines {
				charged += line.Amount
				taken.PromptTokens += line.PromptTokens
			}
		}
		for range rapid.IntRange(1, 50).Draw(t, "adds") {
			price := usage.Price{Prompt: rapid.Int64Range(0, 5_000_000).Draw(t, "price")}
			work := usage.Work{PromptTokens: rapid.Uint64Range(0, 3000).Draw(t, "tokens")}
			m.Add(chat, work, price)
			exact += price.PicoCharge(work)
			added.PromptTokens += work.PromptTokens
			if rapid.Bool().Draw(t, "take part") {
				take()
			}
		}
		take()
		assert(t, taken, qt.Equals, added)
		assert(t, charged, qt.Equals, exact/1_000_000)
	})
}

// assert fails a property test, whose T is no testing.TB, unless the check holds.
func assert(t *rapid.T, got any, checker qt.Checker, args ...any) {
	if err := checker.Check(got, args, func(string, any) {}); err != nil {
		t.Fatalf("%v: got %#v, want %#v", err, got, args)
	}
}

func TestMeterConcurrent(t *testing.T) {
	c := qt.New(t)
	const goroutines, adds = 8, 1000
	m := usage.NewMeter()
	var wait sync.WaitGroup
	for range goroutines {
		wait.Go(func() {
			for range adds {
				m.Add(chat, usage.Work{Requests: 1}, usage.Price{Call: 3})
			}
		})
	}
	var lines []usage.Line
	for range 100 {
		lines = usage.Sum(lines, m.TakePart(start, length).Lines)
	}
	wait.Wait()
	lines = usage.Sum(lines, m.TakePart(start, length).Lines)
	c.Assert(lines, qt.DeepEquals, []usage.Line{
		{Key: chat, Work: usage.Work{Requests: goroutines * adds}, Amount: 3 * goroutines * adds},
	})
}
