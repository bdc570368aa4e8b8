package origin

import (
	"maps"
	"slices"
	"time"
)

// Memory is how long a stream that broke off may be taken up again. It exceeds the time for
// which callers wait.
const Memory = 20 * time.Second

// Limits of what a daemon remembers and reports.
const (
	// maxStreams is the number of streams that are not running.
	maxStreams = 1 << 15
	// maxReported is the number of streams in a report. A row of the store holds 64 KB.
	maxReported = 4096
	// maxFormer is the number of former plans of a service.
	maxFormer = 8
)

// unconfirmedTime is how long a plan counts as possibly in use after a report that replaces it,
// unless the daemon confirms that.
const unconfirmedTime = 24 * time.Hour

// followTime is the time within which daemons in touch follow a change of plans.
const followTime = 10 * time.Second

const (
	// RefreshInterval is the time after which a daemon writes its report again, even if
	// nothing has changed.
	RefreshInterval = 4 * time.Minute
	// GoneTime is the age from which a report is that of a daemon that is gone. A daemon that is
	// cut off from the store goes on by its old plan and cannot say so.
	GoneTime = 15 * time.Minute
)

// Origin is where a stream began.
type Origin struct {
	// Service is the service, and Version the software version of the server.
	Service, Version string
}

// Servers tells of the servers that are listed for a service.
type Servers struct {
	// Plan is the plan by those that take requests.
	Plan Plan
	// Mixed states that not all of them have the same version, those included that drain.
	Mixed bool
}

// progress is what is known of a stream.
type progress struct {
	Origin
	// picked is the service that the daemon picked for the stream.
	picked string
	// runs is the number of requests of this daemon that are receiving the stream.
	runs int
	// complete states that it cannot be taken up again.
	complete bool
	// at is when it began, or when it broke off here.
	at time.Time
}

// Ledger is what a daemon knows about plans and streams. It is not safe for concurrent use.
type Ledger struct {
	// listed are the servers that are listed now, and settledSince is since when those of a
	// service have one version. All maps of plans are by service.
	listed       map[string]Servers
	settledSince map[string]time.Time
	// plans are the plans that are to be used.
	plans map[string]Plan
	// reported are the plans in the report of this daemon, which are in use.
	reported map[string]PlanReport
	// others are the plans, by service, by which other daemons may begin streams and which
	// differ from the one in use. Streams that they lead to another version are exceptions.
	others map[string][]Plan
	// startedAt is when the daemon started, if it has a report from before.
	startedAt time.Time
	// lostBefore is when this daemon started if the table may have lost reports from before,
	// and lostEpoch the epoch of the one that it had.
	lostBefore time.Time
	lostEpoch  uint64
	// restoredAt is when the table was last restored from a backup, or zero.
	restoredAt time.Time
	streams    map[Stream]*progress
	// idle is the number of streams that are not running.
	idle int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{settledSince: make(map[string]time.Time), streams: make(map[Stream]*progress)}
}

// SetListed replaces the servers that are listed. It reports whether plans by them must be
// used at once: there is none for a service yet, or the one in use is very different.
func (l *Ledger) SetListed(listed map[string]Servers, now time.Time) (urgent bool) {
	for service, servers := range listed {
		if _, settled := l.settledSince[service]; servers.Mixed {
			delete(l.settledSince, service)
		} else if !settled {
			l.settledSince[service] = now
		}
		urgent = urgent || len(servers.Plan) > 0 && servers.Plan.isUrgent(l.reported[service].Plan)
	}
	l.listed = listed
	return urgent
}

// UsePlans has the plans by the listed servers used. It reports whether others must be told
// before.
func (l *Ledger) UsePlans() bool {
	l.plans = make(map[string]Plan)
	for service, servers := range l.listed {
		l.plans[service] = servers.Plan
	}
	return l.PlansChanged()
}

// PlansChanged reports whether a plan differs from the one in use. A service without
// servers keeps its plan.
func (l *Ledger) PlansChanged() bool {
	for service, plan := range l.plans {
		if len(plan) > 0 && !slices.Equal(plan, l.reported[service].Plan) {
			return true
		}
	}
	return false
}

// Choose returns the version at which a stream is to begin at a service by the plan that others can
// read, or false if there is none.
func (l *Ledger) Choose(service string, stream Stream) (version string, ok bool) {
	return l.reported[service].Plan.Pick(stream)
}

// LacksPlan reports whether servers are listed for a service and others cannot read a plan of this
// daemon yet.
func (l *Ledger) LacksPlan(service string) bool {
	return len(l.listed[service].Plan) > 0 && len(l.reported[service].Plan) == 0
}

// LacksAnyPlan reports whether LacksPlan holds for any service.
func (l *Ledger) LacksAnyPlan() bool {
	for service := range l.listed {
		if l.LacksPlan(service) {
			return true
		}
	}
	return false
}

// Guess returns the version at which a stream is to begin at a service while LacksPlan holds, or
// false if any will do. It is the one that others take the stream for by their reports. If they
// know none, or several are possible, it follows from the listed servers.
func (l *Ledger) Guess(service string, stream Stream, reports []Report, now time.Time) (version string, ok bool) {
	var versions []string
	for _, r := range reports {
		versions = l.appendPossible(versions, r, Query{Stream: stream, Service: service, Since: now}, false)
	}
	if len(versions) == 1 {
		return versions[0], true
	}
	return l.listed[service].Plan.Pick(stream)
}

// PlansOther reports whether a stream begins at another version than the given one by the plan that
// others can read.
func (l *Ledger) PlansOther(service string, stream Stream, version string) bool {
	planned, ok := l.Choose(service, stream)
	return ok && planned != version
}

// Begin records that a request receives a stream that began at an origin, or is about to.
// picked is the service that this daemon picked for it. It reports whether others must be told,
// since the plans in use do not tell it.
func (l *Ledger) Begin(stream Stream, picked string, o Origin, now time.Time) bool {
	s := l.streams[stream]
	if s == nil {
		s = &progress{}
		l.add(stream, s)
	}
	if s.runs == 0 {
		l.idle--
	}
	s.runs++
	s.picked, s.Origin, s.complete, s.at = picked, o, false, now
	return l.isException(stream, s)
}

// End records that a request of Begin has ended. complete states that the stream cannot be
// taken up again, because the caller was sent all of it or none.
func (l *Ledger) End(stream Stream, complete bool, now time.Time) {
	s := l.streams[stream]
	if s == nil || s.runs == 0 {
		return
	}
	s.runs--
	s.complete, s.at = complete, now
	if s.runs == 0 {
		l.idle++
	}
}

// isException reports whether the origin of a stream does not follow from the plans in use for
// the service that was picked for it.
func (l *Ledger) isException(stream Stream, s *progress) bool {
	return s.isException(stream, l.reported[s.picked].Plan, l.others[s.picked])
}

// isException reports whether the origin of a stream does not follow from the plan of this daemon
// and those of others.
func (s *progress) isException(stream Stream, plan Plan, others []Plan) bool {
	if s.complete {
		return false
	}
	differs := func(p Plan) bool {
		version, ok := p.Pick(stream)
		return !ok || version != s.Version
	}
	return s.Service != s.picked || differs(plan) || slices.ContainsFunc(others, differs)
}

// SetOthers records the plans in the reports of all daemons. It reports whether some differ from
// the plan in use, so that they must be read again, and whether streams became exceptions.
func (l *Ledger) SetOthers(reports []Report, current uint64, now time.Time) (differ, exceptions bool) {
	before := l.others
	l.others = make(map[string][]Plan)
	since := now.Add(-Memory)
	lost := l.lacksPlans(reports, since, current)
	for service, own := range l.reported {
		for _, r := range reports {
			for _, p := range l.possiblePlans(r, service, since, lost) {
				if !slices.Equal(p, own.Plan) && !slices.ContainsFunc(l.others[service], func(o Plan) bool { return slices.Equal(o, p) }) {
					l.others[service] = append(l.others[service], p)
				}
			}
		}
	}
	for stream, s := range l.streams {
		plan := l.reported[s.picked].Plan
		if s.isException(stream, plan, l.others[s.picked]) && !s.isException(stream, plan, before[s.picked]) {
			exceptions = true
		}
	}
	return len(l.others) > 0, exceptions
}

// possiblePlans returns the plans by which the daemon of a report may have begun streams of a
// service since a time. lost states that the table may lack plans of all daemons, so that it may
// have been any plan.
func (l *Ledger) possiblePlans(r Report, service string, since time.Time, lost bool) []Plan {
	known, ok := r.Plans[service]
	if !ok || r.isGone(since) {
		return nil
	}
	var plans []Plan
	if r.EndedAt.IsZero() || r.EndedAt.After(since) {
		plans = append(plans, known.Plan)
	}
	for _, former := range known.Former {
		if former.Until.After(since) {
			plans = append(plans, former.Plan)
		}
	}
	if lost && len(plans) > 0 {
		for _, share := range l.listed[service].Plan {
			plans = append(plans, Plan{share})
		}
	}
	return slices.DeleteFunc(plans, func(p Plan) bool { return len(p) == 0 })
}

// appendPossible appends the versions, once each, at which the daemon of a report may have begun the
// stream of a query. lost is that of possiblePlans.
func (l *Ledger) appendPossible(versions []string, r Report, q Query, lost bool) []string {
	for _, p := range l.possiblePlans(r, q.Service, q.Since, lost) {
		if version, ok := p.Pick(q.Stream); ok && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// lacksPlans reports whether the table was restored from a backup after a time, and no daemon
// that was in touch before has reported since. Its plan is that of all daemons in touch.
func (l *Ledger) lacksPlans(reports []Report, since time.Time, current uint64) bool {
	return since.Before(l.restoredAt) && !slices.ContainsFunc(reports, func(r Report) bool { return r.Epoch >= current })
}

// HandleRestore records that the table was restored from a backup.
func (l *Ledger) HandleRestore(now time.Time) { l.restoredAt = now }

// add adds a stream that is not running.
func (l *Ledger) add(stream Stream, s *progress) {
	if l.idle >= maxStreams {
		l.dropOldest()
	}
	l.streams[stream] = s
	l.idle++
}

// dropOldest forgets half of the streams that are not running, those that ended first.
func (l *Ledger) dropOldest() {
	idle := slices.Collect(maps.Keys(l.streams))
	idle = slices.DeleteFunc(idle, func(s Stream) bool { return l.streams[s].runs > 0 })
	slices.SortFunc(idle, func(a, b Stream) int { return l.streams[a].at.Compare(l.streams[b].at) })
	for _, stream := range idle[:(len(idle)+1)/2] {
		delete(l.streams, stream)
		l.idle--
	}
}

// expire forgets the streams that cannot be taken up again.
func (l *Ledger) expire(now time.Time) {
	for stream, s := range l.streams {
		if s.runs == 0 && now.Sub(s.at) >= Memory {
			delete(l.streams, stream)
			l.idle--
		}
	}
}

// Query asks for the origin of a stream.
type Query struct {
	Stream Stream
	// Service is the service that this daemon picks for the stream.
	Service string
	// Since is the earliest time at which the stream can have begun.
	Since time.Time
	// Fresh states that the list of servers is up to date.
	Fresh bool
	// Epoch is the epoch of the table.
	Epoch uint64
}

// Resolve returns the origin of a stream, as far as this daemon knows it without the reports
// of others.
func (l *Ledger) Resolve(q Query) (o Origin, known bool) {
	if s := l.streams[q.Stream]; s != nil {
		return s.Origin, true
	}
	r, since := l.reported[q.Service], q.Since.Add(-followTime)
	settledSince, settled := l.settledSince[q.Service]
	if !q.Fresh || !settled || settledSince.After(since) || len(r.Plan) != 1 || !l.PlanHolds(q.Service, since) {
		return Origin{}, false
	}
	return Origin{Service: q.Service, Version: r.Plan[0].Version}, true
}

// PlanHolds reports whether the plan of a service has been in use since a time, and the listed
// servers do not change it.
func (l *Ledger) PlanHolds(service string, since time.Time) bool {
	r := l.reported[service]
	if len(r.Plan) == 0 || r.Since.After(since) || since.Before(l.lostBefore) || !slices.Equal(l.listed[service].Plan, r.Plan) {
		return false
	}
	return !slices.ContainsFunc(r.Former, func(f FormerPlan) bool { return f.Until.After(since) })
}

// ResolveByPlan returns the origin of a stream by the plan in use, if it has been in use for
// long enough that all daemons in touch have it, and the plans that others had lead to the same
// version. Reports are not needed, unless the version had no server when the stream began.
func (l *Ledger) ResolveByPlan(q Query) (o Origin, known bool) {
	if o, known = l.Resolve(q); known || !q.Fresh || !l.PlanHolds(q.Service, q.Since.Add(-followTime)) {
		return o, known
	}
	version, ok := l.reported[q.Service].Plan.Pick(q.Stream)
	differs := func(p Plan) bool { other, _ := p.Pick(q.Stream); return other != version }
	if !ok || slices.ContainsFunc(l.others[q.Service], differs) {
		return Origin{}, false
	}
	return Origin{Service: q.Service, Version: version}, true
}

// ResolveAmong returns the origin of a stream by the reports of all daemons. final states that
// later reports will not tell more, since all daemons use the same plan.
func (l *Ledger) ResolveAmong(reports []Report, q Query) (o Origin, known, final bool) {
	if o, known = l.Resolve(q); known {
		return o, true, true
	}
	for _, r := range reports {
		if o, known = r.find(q.Stream); known {
			return o, true, true
		}
	}
	var versions []string
	var plan Plan
	lost := l.lacksPlans(reports, q.Since, q.Epoch)
	if lost && !q.Fresh {
		return Origin{}, false, false // versions may be listed that this daemon does not know
	}
	final = !lost
	for _, r := range reports {
		versions = l.appendPossible(versions, r, q, lost)
		if p := r.Plans[q.Service].Plan; len(p) > 0 && r.EndedAt.IsZero() && !r.isGone(q.Since) {
			final = final && (plan == nil || slices.Equal(plan, p)) && r.Plans[q.Service].isConfirmed(r.At)
			plan = p
		}
	}
	if len(versions) != 1 {
		return Origin{}, false, final && len(versions) > 0
	}
	return Origin{Service: q.Service, Version: versions[0]}, true, true
}
