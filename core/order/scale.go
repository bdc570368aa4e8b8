package order

import (
	"time"

	"acaciapath.example/core/config"
)

// ScaleDownDelay is how long fewer backend servers have to be enough before
// any is released.
const ScaleDownDelay = 5 * time.Minute

// Scale is the number of backend servers that a pool is to have, with what is
// remembered between decisions. The zero value remembers nothing.
type Scale struct {
	// Started says whether Target is set.
	Started bool
	// Target is the number of backend servers that the pool is to have.
	Target int
	// LowSince is since when fewer than Target were needed, or zero.
	LowSince time.Time
	// LowPeak is the most that was needed since LowSince.
	LowPeak int
}

// Next returns the scale for what is needed at now. It rises at once and falls
// to the peak of the last ScaleDownDelay. Present is the number of backend
// servers that the pool has: a process that has just taken charge starts from
// there. If known is false, the target stays, at least at the pool's Min.
func (s Scale) Next(pool config.Pool, need, present int, known bool, now time.Time) Scale {
	if !s.Started {
		s = Scale{Started: true, Target: present}
	}
	s.Target = min(max(s.Target, pool.Min), pool.Max)
	need = min(max(need, pool.Min), pool.Max)
	switch {
	case !known, need == s.Target:
		return Scale{Started: true, Target: s.Target}
	case need > s.Target:
		return Scale{Started: true, Target: need}
	case s.LowSince.IsZero():
		s.LowSince, s.LowPeak = now, need
		return s
	}
	s.LowPeak = max(s.LowPeak, need)
	if now.Sub(s.LowSince) < ScaleDownDelay {
		return s
	}
	return Scale{Started: true, Target: s.LowPeak}
}
