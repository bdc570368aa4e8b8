package patience_test

import (
	"testing"
	"time"

	"acaciapath.example/core/patience"

	qt "github.com/frankban/quicktest"
)

func TestWait(t *testing.T) {
	request := patience.Request{Repeatable: true, RunsLeft: 1, FirstEventTarget: 600 * time.Millisecond, TimeLeft: 6 * time.Second}
	for _, test := range []struct {
		name   string
		change func(*patience.Request)
		want   time.Duration
		ok     bool
	}{
		{"may be repeated", func(*patience.Request) {}, 1200 * time.Millisecond, true},
		{"tight objective", func(r *patience.Request) { r.FirstEventTarget = 100 * time.Millisecond }, 500 * time.Millisecond, true},
		{"may run once", func(r *patience.Request) { r.Repeatable = false }, 0, false},
		{"last engine", func(r *patience.Request) { r.RunsLeft = 0 }, 0, false},
		{"no objective", func(r *patience.Request) { r.FirstEventTarget = 0 }, 0, false},
		{"another engine would be too late", func(r *patience.Request) { r.TimeLeft = 1700 * time.Millisecond }, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := request
			test.change(&r)
			wait, ok := patience.Wait(r)
			qt.Assert(t, ok, qt.Equals, test.ok)
			if ok {
				qt.Assert(t, wait, qt.Equals, test.want)
			}
		})
	}
}

// TestHungEngines replays 7 of 110 engines that hang for 7 s under 100 requests a second, which
// are spread evenly. Callers disconnect after four times the objective. All get their first
// event before that, since the second engine is a sound one.
func TestHungEngines(t *testing.T) {
	const engines, hung, target = 110, 7, 800 * time.Millisecond
	const usual = 240 * time.Millisecond
	disconnected := 0
	for i := range 700 {
		first := usual
		if i%engines < hung {
			wait, ok := patience.Wait(patience.Request{Repeatable: true, RunsLeft: 1, FirstEventTarget: target, TimeLeft: 5 * time.Second})
			qt.Assert(t, ok, qt.IsTrue)
			first = wait + usual
		}
		if first >= 4*target {
			disconnected++
		}
	}
	qt.Assert(t, disconnected, qt.Equals, 0)
}
