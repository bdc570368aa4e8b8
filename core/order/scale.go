package order

import (
	"time"

	"acaciapath.example/core/config"
)

// ScaleDownDelay is how long fewer backend servers have to be enough before
// any is released.
const ScaleDownDelay = 5 * time.Minute

// PoolTarget is the number of backend servers that a pool is to have, with what is
// remembered between decisions. The zero value remembers nothing.
type PoolTarget struct {
	// Initialized says whether Target is set.
	Initialized bool
	// Count is the number of backend servers that the pool is to have.
	Count int
	// LowSince is since when fewer than Target were needed, or zero.
	LowSince time.Time
	// LowPeak is the most that was needed since LowSince.
	LowPeak int
}

// Next returns the scale for what is needed at now. It rises at once and falls
// to the peak of the last ScaleDownDelay. Present is the number of backend
// servers that the pool has: a process that has just taken charge starts from
// there. If known is false, the target stays, at least at the pool's Min.
func (s PoolTarget) Next(pool config.Pool, need, present int, known bool, now time.Time) PoolTarget {
	if !s.Initialized {
		s = PoolTarget{Initialized: true, Count: present}
	}
	s.Count = min(max(s.Count, pool.Min), pool.Max)
	need = min(max(need, pool.Min), pool.Max)
	switch {
	case !known, need == s.Count:
		return PoolTarget{Initialized: true, Count: s.Count}
	case need > s.Count:
		return PoolTarget{Initialized: true, Count: need}
	case s.LowSince.IsZero():
		s.LowSince, s.LowPeak = now, need
		return s
	}
	s.LowPeak = max(s.LowPeak, need)
	if now.Sub(s.LowSince) < ScaleDownDelay {
		return s
	}
	return PoolTarget{Initialized: true, Count: s.LowPeak}
}
