package quarantine

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrInvalidSettings is returned for settings out of range.
var ErrInvalidSettings = merry.Sentinel("quarantine: invalid settings")

// Settings are the limits from which a prompt part is quarantined, and for how long.
type Settings struct {
	// Crashes is the number of engines that must have ended under a part, and
	// RequestCrashes that of servers that must have ended under a whole request. With
	// Crashes = 0, nothing is quarantined. Crashes ≥ 2 or 0, RequestCrashes ≥ 2.
	Crashes, RequestCrashes int
	// Memory is how long a crash is remembered, and how long a quarantined part is
	// remembered after its last hold. Memory > 0.
	Memory time.Duration
	// Hold is how long requests with a part are refused before one of them is tried
	// again. It doubles with each trial that fails, up to MaxHold. 0 < Hold ≤ MaxHold.
	Hold, MaxHold time.Duration
}

// DefaultSettings returns the settings that apply if the operator gives none.
func DefaultSettings() Settings {
	return Settings{Crashes: 4, RequestCrashes: 3, Memory: 10 * time.Minute, Hold: 10 * time.Minute, MaxHold: 6 * time.Hour}
}

// Validate returns ErrInvalidSettings if a value is out of range.
func (s Settings) Validate() error {
	switch {
	case s.Crashes < 0 || s.Crashes == 1:
		return merry.Wrap(ErrInvalidSettings, merry.AppendMessagef("crashes is %d, must be 0 or at least 2", s.Crashes))
	case s.RequestCrashes < 2:
		return merry.Wrap(ErrInvalidSettings, merry.AppendMessagef("request crashes is %d, must be at least 2", s.RequestCrashes))
	case s.Memory <= 0:
		return merry.Wrap(ErrInvalidSettings, merry.AppendMessagef("memory is %s, must be positive", s.Memory))
	case s.Hold <= 0 || s.Hold > s.MaxHold:
		return merry.Wrap(ErrInvalidSettings, merry.AppendMessagef("hold is %s, must be positive and at most the longest hold of %s", s.Hold, s.MaxHold))
	}
	return nil
}

// Limits of the evidence.
const (
	// crashSpacing is the time by which two crashes must be apart to count as two. Servers
	// that are lost together, such as those of a rack, end in a moment under whatever
	// they run.
	crashSpacing = 100 * time.Millisecond
	// moreCrashes is the number of further crashes that are needed while most engines end
	// under other prompts.
	moreCrashes = 2
	// settleTime is the time from the evidence to the quarantine. Within it, reports of other
	// daemons are read, with sound runs of a part that many requests have and with crashes
	// under another part that explains the evidence.
	settleTime = 850 * time.Millisecond
	// lookback is the time before the first of the crashes under a part in which the ends of
	// other engines tell how many end meanwhile of other causes.
	lookback = 10 * time.Second
	// expiryInterval is how often old evidence is looked for.
	expiryInterval = 30 * time.Second
	// trialTime is how long the daemon that tries a part again has for the trial.
	trialTime = 30 * time.Second
	// maxClockError bounds how far the clock of another VM may be ahead. Later times in
	// reports are taken for the present.
	maxClockError = 5 * time.Second
)

// Limits of what a daemon remembers.
const (
	// maxSuspects is the number of accused parts, and of accused requests.
	maxSuspects = 1024
	// maxCrashes is the number of crashes of each accused part.
	maxCrashes = 64
	// maxAlike is the number of requests that are quarantined together since they are accused
	// alike.
	maxAlike = 8
	// maxQuarantined is the number of quarantined parts.
	maxQuarantined = 256
	// maxSound is the number of parts, in each of two generations, whose sound runs are
	// remembered while nothing accuses them.
	maxSound = 4096
	// maxParts is the number of parts of a prompt that are considered.
	maxParts = 64
	// maxReported is the number of crashes under parts, of crashes under requests, and of
	// sound runs, in a report.
	maxReported = 64
)
