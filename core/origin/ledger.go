package origin

import (
	"maps"
	"slices"
	"time"
)

// Memory is how long a stream that broke off may be taken up again, and how long a version is
// remembered whose servers are gone. It exceeds the time for which callers wait.
const Memory = 20 * time.Second

// Limits of what a daemon remembers and reports.
const (
	// maxStreams is the number of streams that are not running.
	maxStreams = 1 << 15
	// maxReported is the number of streams in a report. A row of the store holds 64 KB.
	maxReported = 4096
	// outdatedAfter is the age from which a report with versions that are no longer in
	// service can be deleted.
	outdatedAfter = 2 * time.Minute
)

// Origin is where a stream began.
type Origin struct {
	// Service is the service, and Version the software version of the server.
	Service, Version string
}

// Version is a version of the servers of a service.
type Version struct {
	Name string
	// Open states that streams can begin at it.
	Open bool
}

// progress is what is known of a stream.
type progress struct {
	Origin
	// runs is the number of requests of this daemon that are receiving the stream.
	runs int
	// complete states that the caller has been sent the whole stream.
	complete bool
	// at is when the stream began, or when it broke off here.
	at time.Time
}

// Ledger is what a daemon knows about versions and streams. It is not safe for concurrent
// use.
type Ledger struct {
	// since is when the first list of servers was read, or zero.
	since time.Time
	// listed are the versions of the listed servers of each service.
	listed map[string][]Version
	// awaited counts the requests at each version whose first event has not arrived.
	awaited map[Origin]int
	// inherited is when the versions at which streams could begin before a restart were
	// learned.
	inherited map[Origin]time.Time
	// seen is when each version of a service was listed last.
	seen    map[string]map[string]time.Time
	streams map[Stream]*progress
	// streaming are the services that have had streams.
	streaming map[string]bool
	// idle is the number of streams that are not running.
	idle int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		awaited: make(map[Origin]int), inherited: make(map[Origin]time.Time),
		seen: make(map[string]map[string]time.Time), streams: make(map[Stream]*progress), streaming: make(map[string]bool),
	}
}

// SetListed replaces the versions of the listed servers of each service.
func (l *Ledger) SetListed(listed map[string][]Version, now time.Time) {
	if l.since.IsZero() {
		l.since = now
	}
	for _, lists := range []map[string][]Version{l.listed, listed} {
		for service, versions := range lists {
			for _, v := range versions {
				l.markSeen(service, v.Name, now)
			}
		}
	}
	l.listed = listed
}

// Await records that a request was sent to a server of a version, whose first event would
// begin a stream.
func (l *Ledger) Await(o Origin) { l.awaited[o]++ }

// EndAwait records that a request of Await has had its first event, or ended.
func (l *Ledger) EndAwait(o Origin) {
	if l.awaited[o]--; l.awaited[o] <= 0 {
		delete(l.awaited, o)
	}
}

// opens reports whether streams that have not been reported can have begun at a version.
func (l *Ledger) opens(o Origin, now time.Time) bool {
	if at, ok := l.inherited[o]; ok && now.Sub(at) < Memory || l.awaited[o] > 0 {
		return true
	}
	return slices.Contains(l.listed[o.Service], Version{Name: o.Version, Open: true})
}

// markSeen records that a version of a service is in service.
func (l *Ledger) markSeen(service, version string, now time.Time) {
	if l.seen[service] == nil {
		l.seen[service] = make(map[string]time.Time)
	}
	l.seen[service][version] = now
}

// Versions returns the versions of a service that are in service or were lately, sorted.
func (l *Ledger) Versions(service string, now time.Time) []string {
	var versions []string
	for _, v := range l.listed[service] {
		versions = append(versions, v.Name)
	}
	for version, at := range l.seen[service] {
		if now.Sub(at) < Memory && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// StreamingVersions returns Versions of all services that have had streams, and whether
// streams can begin at them that are not reported.
func (l *Ledger) StreamingVersions(now time.Time) map[string][]Version {
	all := make(map[string][]Version)
	for service := range l.streaming {
		for _, version := range l.Versions(service, now) {
			all[service] = append(all[service], Version{Name: version, Open: l.opens(Origin{Service: service, Version: version}, now)})
		}
	}
	return all
}

// IsSettled reports whether streams of a service can have begun and can begin at one version
// only, so that they need not be reported.
func (l *Ledger) IsSettled(service string, now time.Time) bool {
	versions := l.Versions(service, now)
	return len(versions) == 1 && l.opens(Origin{Service: service, Version: versions[0]}, now)
}

// AllSettled reports whether IsSettled holds for all services that have had streams.
func (l *Ledger) AllSettled(now time.Time) bool {
	for service := range l.streaming {
		if !l.IsSettled(service, now) {
			return false
		}
	}
	return true
}

// Begin records that a request receives a stream that began at an origin. It reports whether
// others should be told.
func (l *Ledger) Begin(stream Stream, o Origin, now time.Time) bool {
	first := !l.streaming[o.Service]
	l.streaming[o.Service] = true
	s := l.streams[stream]
	if s == nil {
		s = &progress{Origin: o}
		l.add(stream, s)
	}
	if s.runs == 0 {
		l.idle--
	}
	s.runs++
	s.complete, s.at = false, now
	return first || !l.IsSettled(o.Service, now)
}

// End records that a request of Begin has ended. complete states that the caller has been
// sent the whole stream.
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

// Resolve returns the origin of a stream, as far as this daemon knows it. service is the one
// that the caller's request is meant for, and fresh states that the list of servers is up to
// date.
func (l *Ledger) Resolve(stream Stream, service string, fresh bool, now time.Time) (o Origin, known bool) {
	if s := l.streams[stream]; s != nil {
		return s.Origin, true
	}
	if !fresh || l.since.IsZero() || now.Sub(l.since) < Memory {
		return Origin{}, false
	}
	return only(service, l.Versions(service, now))
}

// ResolveAmong does the same with the reports of all daemons. If no report has the stream, and
// streams can begin at one version only on all of them, it is the one that began the stream.
func (l *Ledger) ResolveAmong(reports []Report, stream Stream, service string, fresh bool, now time.Time) (o Origin, known bool) {
	if o, known = l.Resolve(stream, service, fresh, now); known {
		return o, true
	}
	var open []string
	for _, version := range l.Versions(service, now) {
		if l.opens(Origin{Service: service, Version: version}, now) {
			open = append(open, version)
		}
	}
	for _, r := range reports {
		if o, known = r.find(stream); known {
			return o, true
		}
		for version, reported := range r.Services[service] {
			if reported.Open && !slices.Contains(open, version) {
				open = append(open, version)
			}
		}
	}
	if !fresh || l.since.IsZero() {
		return Origin{}, false
	}
	return only(service, open)
}

// only returns the origin of all streams of a service with one version.
func only(service string, versions []string) (Origin, bool) {
	if len(versions) != 1 {
		return Origin{}, false
	}
	return Origin{Service: service, Version: versions[0]}, true
}
