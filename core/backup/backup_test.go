package backup_test

import (
	"testing"

	"acaciapath.example/core/backup"

	qt "github.com/frankban/quicktest"
)

// Sizes of requests, in tokens.
const (
	chat   = 1650
	letter = 17_500
)

var engine = backup.Engine{Slots: 16, KVCacheTokens: 580_000, KVBytesPerToken: 18_000, BytesPerSecond: 22e9}

func TestIsWorthwhile(t *testing.T) {
	with := func(change func(*backup.Engine)) backup.Engine {
		e := engine
		change(&e)
		return e
	}
	for _, test := range []struct {
		name   string
		run    backup.Run
		engine backup.Engine
		want   bool
	}{
		{"short stream", backup.Run{Tokens: chat}, engine, true},
		{"short stream that may be repeated", backup.Run{Tokens: chat, Repeatable: true}, engine, false},
		{"long prompt fills the memory of another engine", backup.Run{Tokens: letter}, engine, false},
		{"unknown length", backup.Run{}, engine, false},
		{"unknown memory", backup.Run{Tokens: chat}, with(func(e *backup.Engine) { e.KVCacheTokens = 0 }), false},
		{"slow link", backup.Run{Tokens: chat}, with(func(e *backup.Engine) { e.BytesPerSecond = 0.5e9 }), false},
		{"unknown link", backup.Run{Tokens: chat}, with(func(e *backup.Engine) { e.BytesPerSecond = 0 }), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, backup.IsWorthwhile(test.run, test.engine), qt.Equals, test.want)
		})
	}
}

// TestQuarterOfEnginesCrashes replays the crash of 35 of 140 engines, each with a batch of
// streams that are at different events, half of them with a copy. Those with a copy that are
// past their beginning go on; all others end.
func TestQuarterOfEnginesCrashes(t *testing.T) {
	goesOn, ends := 0, 0
	for range 35 {
		for slot := range 16 {
			b := backup.Break{Kept: slot%2 == 0, ReceivedEvents: slot * 2, EngineGone: true, CallerWaits: true}
			if backup.GoesOn(b) {
				qt.Check(t, b.Kept && b.ReceivedEvents >= 8, qt.IsTrue)
				goesOn++
				continue
			}
			ends++
		}
	}
	qt.Assert(t, goesOn, qt.Equals, 35*6)
	qt.Assert(t, ends, qt.Equals, 35*10)
}

func TestGoesOnOnlyIfNothingElseRunsIt(t *testing.T) {
	whole := backup.Break{Kept: true, ReceivedEvents: 20, EngineGone: true, CallerWaits: true}
	qt.Assert(t, backup.GoesOn(whole), qt.IsTrue)
	for name, change := range map[string]func(*backup.Break){
		"engine out of reach": func(b *backup.Break) { b.EngineGone = false },
		"caller has left":     func(b *backup.Break) { b.CallerWaits = false },
		"no copy":             func(b *backup.Break) { b.Kept = false },
		"beginning of a run":  func(b *backup.Break) { b.ReceivedEvents = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			b := whole
			change(&b)
			qt.Assert(t, backup.GoesOn(b), qt.IsFalse)
		})
	}
}
