package daemon

import (
	"time"

	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/quarantine"

	"github.com/ansel1/merry/v2"
)

// ErrInvalidOptions is returned for options out of range.
var ErrInvalidOptions = merry.Sentinel("daemon: invalid options")

// Options are the settings that the operator of the daemon gives, beside those of the
// platform.
type Options struct {
	// Quarantine has the limits from which prompts that crash engines are refused.
	Quarantine quarantine.Settings
	// LimitMemory is how long the limit that a backend server named is remembered without
	// news. LimitMemory > 0.
	LimitMemory time.Duration
	// DialServer opens the connections to backend servers. Tests inject faults there.
	DialServer proxy.DialFunc
}

// DefaultOptions returns the options that apply if the operator gives none.
func DefaultOptions() Options {
	return Options{Quarantine: quarantine.DefaultSettings(), LimitMemory: placement.DefaultLimitMemory, DialServer: proxy.Dial}
}

// Validate returns ErrInvalidOptions or quarantine.ErrInvalidSettings if a value is out of
// range.
func (o Options) Validate() error {
	if o.LimitMemory <= 0 {
		return merry.Wrap(ErrInvalidOptions, merry.AppendMessagef("limit memory is %s, must be positive", o.LimitMemory))
	}
	return o.Quarantine.Validate()
}
