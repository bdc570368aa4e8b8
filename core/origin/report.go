package origin

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Stream identifies a stream.
type Stream uint64

// StreamID returns the id of the stream of a client account whose first event was the answer
// to the attempt with the given id.
func StreamID(account, attemptID string) Stream {
	sum := sha256.Sum256([]byte(account + "\x00" + attemptID))
	return Stream(binary.LittleEndian.Uint64(sum[:]))
}

// Report is what one daemon tells the others. It replaces its earlier reports.
type Report struct {
	// At is when it was written, by the wall clock of the daemon's VM.
	At time.Time
	// EndedAt is when the daemon ended, or zero if it has not, as far as it could tell.
	EndedAt time.Time
	// Epoch is the epoch of the table (core/epoch) in which it was written. It is an earlier
	// one if the daemon started since or was cut off before, and streams may have begun before
	// under plans that the table has lost and the daemon does not know.
	Epoch uint64
	// Plans has the plans of all services with streams that can be taken up again.
	Plans map[string]PlanReport
	// Exceptions are the streams that can be taken up again and whose origins do not follow
	// from the plans.
	Exceptions map[Origin][]Stream
}

// PlanReport is what a daemon tells of the plan of a service.
type PlanReport struct {
	// Plan is in use since Since.
	Plan  Plan
	Since time.Time
	// Former are the plans that were in use before a restart of the daemon, whose streams are
	// not known to it, and the one that may still be in use until the daemon has reported that
	// it uses Plan.
	Former []FormerPlan
}

// isConfirmed reports whether Plan is in use according to a report that was written at a time.
func (p PlanReport) isConfirmed(at time.Time) bool {
	return !slices.ContainsFunc(p.Former, func(f FormerPlan) bool { return f.Until.After(at) })
}

// Differs reports whether a stream begins at another version than the given one by a plan that may
// be in use after a time.
func (p PlanReport) Differs(stream Stream, version string, at time.Time) bool {
	plans := []Plan{p.Plan}
	for _, f := range p.Former {
		if f.Until.After(at) {
			plans = append(plans, f.Plan)
		}
	}
	return slices.ContainsFunc(plans, func(plan Plan) bool {
		other, ok := plan.Pick(stream)
		return ok && other != version
	})
}

// Confirm returns p without the plans that may still be in use at a time.
func (p PlanReport) Confirm(at time.Time) PlanReport {
	p.Former = slices.DeleteFunc(slices.Clone(p.Former), func(f FormerPlan) bool { return f.Until.After(at) })
	return p
}

// FormerPlan is a plan that was in use until Until.
type FormerPlan struct {
	Plan  Plan
	Until time.Time
}

// find returns the origin of a stream if it is an exception.
func (r Report) find(stream Stream) (Origin, bool) {
	for o, streams := range r.Exceptions {
		if slices.Contains(streams, stream) {
			return o, true
		}
	}
	return Origin{}, false
}

// IsUnconfirmed reports whether other daemons cannot tell yet that the plans of a report are in use.
func (r Report) IsUnconfirmed() bool {
	for _, p := range r.Plans {
		if !p.isConfirmed(r.At) {
			return true
		}
	}
	return false
}

// MayDiffer reports whether other daemons may have other plans than those of a report that is
// about to be used: it replaces a plan, or has several versions.
func (l *Ledger) MayDiffer(r Report) bool {
	for service, p := range r.Plans {
		if p.Since.Equal(r.At) && (len(p.Plan) > 1 || len(p.Former) > 0 || len(l.reported[service].Plan) > 0) {
			return true
		}
	}
	return false
}

// isGone reports whether the daemon of a report must have ended long before a time.
func (r Report) isGone(at time.Time) bool { return at.Sub(r.At) > GoneTime }

// Report returns what others need to know. Beyond maxReported exceptions, the latest are kept.
func (l *Ledger) Report(now time.Time) Report {
	l.expire(now)
	r := Report{At: now, Plans: make(map[string]PlanReport), Exceptions: make(map[Origin][]Stream)}
	for service, known := range l.reported {
		r.Plans[service] = known
	}
	for service, plan := range l.plans {
		if len(plan) > 0 {
			r.Plans[service] = l.reported[service].next(plan, l.startedAt, now)
		}
	}
	var exceptions []Stream
	for stream, s := range l.streams {
		if s.isException(stream, r.Plans[s.picked].Plan, l.others[s.picked]) {
			exceptions = append(exceptions, stream)
		}
	}
	slices.SortFunc(exceptions, func(a, b Stream) int {
		return cmp.Or(l.streams[b].at.Compare(l.streams[a].at), cmp.Compare(a, b))
	})
	for _, stream := range exceptions[:min(len(exceptions), maxReported)] {
		o := l.streams[stream].Origin
		r.Exceptions[o] = append(r.Exceptions[o], stream)
	}
	return r
}

// next returns the report of a service when its plan is replaced. The old plan becomes a former
// one: it stays in use until the daemon knows that the report was written, and streams that began
// under it before the daemon started are not known.
func (p PlanReport) next(plan Plan, startedAt, now time.Time) PlanReport {
	if slices.Equal(plan, p.Plan) {
		return p
	}
	n := PlanReport{Plan: plan, Since: now}
	for _, former := range p.Former {
		if now.Sub(former.Until) < Memory {
			n.Former = append(n.Former, former)
		}
	}
	if len(p.Plan) > 0 && p.Since.Before(startedAt) && now.Sub(startedAt) < Memory {
		n.Former = append(n.Former, FormerPlan{Plan: p.Plan, Until: startedAt})
	}
	if len(p.Plan) > 0 {
		n.Former = append(n.Former, FormerPlan{Plan: p.Plan, Until: now.Add(unconfirmedTime)})
	}
	n.Former = n.Former[max(len(n.Former)-maxFormer, 0):]
	return n
}

// SetReported records that others can read a report of this daemon, so that its plans are in
// use. It reports whether another one is needed: others do not know that the plans are in use, or
// streams have begun since that the report lacks.
func (l *Ledger) SetReported(r Report) bool {
	l.reported = make(map[string]PlanReport)
	for service, p := range r.Plans {
		l.reported[service] = p.Confirm(r.At)
	}
	if r.IsUnconfirmed() {
		return true
	}
	for stream, s := range l.streams {
		if !s.at.Before(r.At) && l.isException(stream, s) {
			return true
		}
	}
	return false
}

// RecordLostReports records that the table was restored from a backup after it had the report
// of this VM from before a restart, which was written in the given epoch.
func (l *Ledger) RecordLostReports(epoch uint64, now time.Time) {
	l.lostEpoch, l.lostBefore = epoch, now
}

// Epoch returns the epoch of a report of this daemon, if that of the table is current.
func (l *Ledger) Epoch(current uint64, now time.Time) uint64 {
	if now.Sub(l.lostBefore) < Memory {
		return l.lostEpoch
	}
	return current
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Merge adds the report of this VM from before a restart. Its plans stay in use, unless it tells
// the others that they are not.
func (l *Ledger) Merge(r Report, now time.Time) {
	l.startedAt = now
	l.reported = make(map[string]PlanReport)
	for service, p := range r.Plans {
		for i := range p.Former {
			p.Former[i].Until = earlier(p.Former[i].Until, now)
		}
		if !r.EndedAt.IsZero() && len(p.Plan) > 0 {
			p = PlanReport{Former: append(p.Former, FormerPlan{Plan: p.Plan, Until: earlier(r.EndedAt, now)})}
		}
		l.reported[service] = p
	}
	l.mergeExceptions(r, now)
}

// MergeLate adds a report that an earlier process of this VM wrote and that was not known at the
// start. Streams may have begun by its plans until now.
func (l *Ledger) MergeLate(r Report, now time.Time) {
	for service, p := range r.Plans {
		known, until := l.reported[service], now
		if !r.EndedAt.IsZero() {
			until = r.EndedAt
		}
		for _, former := range append(slices.Clone(p.Former), FormerPlan{Plan: p.Plan, Until: until}) {
			former.Until = earlier(former.Until, now)
			same := func(f FormerPlan) bool { return slices.Equal(f.Plan, former.Plan) }
			if len(former.Plan) > 0 && !slices.Equal(former.Plan, known.Plan) && !slices.ContainsFunc(known.Former, same) {
				known.Former = append(slices.Clip(known.Former), former)
			}
		}
		known.Former = known.Former[max(len(known.Former)-maxFormer, 0):]
		if l.reported == nil {
			l.reported = make(map[string]PlanReport)
		}
		l.reported[service] = known
	}
	l.mergeExceptions(r, now)
}

// mergeExceptions adds the exceptions of a report of this VM.
func (l *Ledger) mergeExceptions(r Report, now time.Time) {
	for o, streams := range r.Exceptions {
		for _, stream := range streams {
			if _, known := l.streams[stream]; !known {
				l.add(stream, &progress{Origin: o, picked: o.Service, at: now})
			}
		}
	}
}
