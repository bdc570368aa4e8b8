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
	began := time.Now()
	sleep.For(t.Context(), 20*time.Millisecond)
	c.Assert(time.Since(began) >= 20*time.Millisecond, qt.IsTrue)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	sleep.For(ended, time.Hour)
	sleep.For(t.Context(), -time.Hour)
}
