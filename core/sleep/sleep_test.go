package sleep_test

import (
	"context"
	"testing"
	"time"

	"acaciapath.example/core/sleep"

	qt "github.com/frankban/quicktest"
)

func TestFor(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	sleep.For(t.Context(), 20*time.Millisecond)
	c.Assert(time.Since(start) >= 20*time.Millisecond, qt.IsTrue)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	sleep.For(cancelled, time.Hour)
	sleep.For(t.Context(), -time.Hour)
}
