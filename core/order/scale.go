package order

import (
	"time"

	"acaciapath.example/core/config"
)

// ScaleDownDelay is how long fewer backend servers must have been sufficient
// before the target of a pool is lowered.
const ScaleDownDelay = 5 * time.Minute

// PoolTarget is the number of backend servers that a pool should have, with the
// state needed to delay scaling down. The zero value has no target yet.
type PoolTarget struct {
	// Initialized reports whether Count is set.
	Initialized bool
	// Count is the number of backend servers that the pool should have.
	Count int
	// LowSince is the time since which fewer than Count were needed, or zero.
	LowSince time.Time
	// LowPeak is the maximum that was needed since LowSince.
	LowPeak int
}

// Next returns the target for need, the number of backend servers needed at now.
// The target rises immediately. It falls to the peak need since LowSince once
// fewer backend servers have been needed for ScaleDownDelay. present is the number
// of backend servers that the pool has, from which a new lease holder starts. If
// complete is false, the need is ignored and the target only moves into the
// bounds of the pool.
func (t PoolTarget) Next(pool config.Pool, need, present int, complete bool, now time.Time) PoolTarget {
	if !t.Initialized {
		t = PoolTarget{Initialized: true, Count: present}
	}
	t.Count = min(max(t.Count, pool.Min), pool.Max)
	need = min(max(need, pool.Min), pool.Max)
	switch {
	case !complete, need == t.Count:
		return PoolTarget{Initialized: true, Count: t.Count}
	case need > t.Count:
		return PoolTarget{Initialized: true, Count: need}
	case t.LowSince.IsZero():
		t.LowSince, t.LowPeak = now, need
		return t
	}
	t.LowPeak = max(t.LowPeak, need)
	if now.Sub(t.LowSince) < ScaleDownDelay {
		return t
	}
	return PoolTarget{Initialized: true, Count: t.LowPeak}
}
