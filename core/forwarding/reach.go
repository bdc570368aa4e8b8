package forwarding

import "time"

// State is what a daemon knows of its own path to the backend servers.
type State int

// States of the own path.
const (
	// Direct means that the own path works, as far as is known.
	Direct State = iota
	// Suspect means that signs speak against the own path and probes are pending.
	Suspect
	// CutOff means that no backend server is reached on the own path.
	CutOff
)

// String returns the state as it appears in logs and metrics.
func (s State) String() string { return [...]string{"direct", "suspect", "cut-off"}[s] }

// Cut is what a cut does to connections that are open when it begins.
type Cut int

// Kinds of cuts.
const (
	// NoCut applies while the daemon is not cut off.
	NoCut Cut = iota
	// Hanging means that nothing arrives on open connections any more.
	Hanging
	// Refusing means that new connections are refused or reset. What arrives on open
	// connections still counts.
	Refusing
)

// String returns the kind as it appears in logs.
func (c Cut) String() string { return [...]string{"none", "hanging", "refusing"}[c] }

// Target is a backend server that can be probed.
type Target struct {
	// Name is the backend server's name, and Address its IP address and port.
	Name, Address string
	// FailureDomain is the failure domain of the backend server, and Service is the
	// service that it serves, or the first one of several.
	FailureDomain, Service string
}

// Contact is the outcome of a new connection to a backend server.
type Contact int

// Outcomes of connections.
const (
	// Opened means that bytes arrived on the connection.
	Opened Contact = iota
	// Refused means that the connection was refused.
	Refused
	// Reset means that the connection was accepted, and ended before a byte arrived. A
	// backend server does so with connections beyond its limit.
	Reset
	// TimedOut means that the connection was not established, or stayed silent.
	TimedOut
)

// String returns the outcome as it appears in logs and metrics.
func (c Contact) String() string { return [...]string{"opened", "refused", "reset", "timed-out"}[c] }

// Evidence of a cut. Each number is limited to what is listed.
const (
	// minFailedServers is the number of backend servers that must have failed, and
	// minFailedGroups those of failure domains and of services: a dead failure domain or
	// service is no cut. minFailures is the number of failed connections.
	minFailedServers = 6
	minFailedGroups  = 3
	minFailures      = 3
	// minRefusedServers replaces minFailedServers if connections did not time out. Such
	// outcomes arrive fast. It applies also while bytes arrive on older connections and new
	// ones are not refused outright, since several servers may be at their limit.
	minRefusedServers = 10
	// minRestoredServers is the number of backend servers that must answer to end a cut.
	minRestoredServers = 2
)

// Times of the evidence.
const (
	// recentContact is how long an opened connection speaks against a single failure.
	recentContact = 200 * time.Millisecond
	// quietPeriod is the time without a byte after which older connections count as silent.
	quietPeriod = 500 * time.Millisecond
	// minDoubt is the least time from the first sign to a cut. Probes that are answered
	// at once are in time, when many connections fail together after a pause of the
	// process.
	minDoubt = 30 * time.Millisecond
	// minFullDoubt replaces minDoubt while backend servers may be at their limit.
	minFullDoubt = time.Second
	// maxDoubt is how long the own path is suspected after the last sign. It covers a probe of a
	// link that accepts connections and stays silent.
	maxDoubt = 2 * time.Second
	// failureMemory is how long a failure counts that led to no suspicion.
	failureMemory = time.Second
	// restoredWithin is the time within which minRestoredServers must answer.
	restoredWithin = 2 * time.Second
)

// Pauses between suspicions that were not confirmed.
const (
	// minPause applies if several backend servers failed, unless they may be at their
	// limit, and to the first suspicion.
	minPause = 250 * time.Millisecond
	// maxPause bounds the pause, which doubles from one suspicion to the next.
	maxPause = 2 * time.Second
	// pauseMemory is the time without suspicions after which minPause applies again.
	pauseMemory = 10 * time.Second
)

// Sign is what led to a suspicion.
type Sign int

// Signs against the own path.
const (
	// FailedContact means that new connections failed.
	FailedContact Sign = iota
	// LostConnection means that an open connection ended without an answer.
	LostConnection
	// Silence means that requests wait and nothing arrives from any backend server.
	Silence
)

// String returns the sign as it appears in logs.
func (s Sign) String() string {
	return [...]string{"failed-contact", "lost-connection", "silence"}[s]
}

// failure describes the failed connections to a backend server.
type failure struct {
	// contact is the outcome of the last one, and at its time.
	contact Contact
	at      time.Time
	// count is the number of failed connections.
	count  int
	target Target
}

// Evidence is what was seen since the first sign.
type Evidence struct {
	// Sign is the first sign, and Since its time.
	Sign  Sign
	Since time.Time
	// Servers, FailureDomains and Services are the numbers of those that failed.
	Servers, FailureDomains, Services int
	// Refused, Reset and TimedOut are the numbers of backend servers by the outcome of
	// the last connection. Their sum is Servers.
	Refused, Reset, TimedOut int
	// Heard states that bytes go on arriving on older connections.
	Heard bool
}

// Reach decides from the outcomes of connections whether a daemon reaches the backend
// servers. It is not safe for concurrent use.
type Reach struct {
	targets []Target
	// byAddress holds the targets by address. domainCount and serviceCount are the numbers
	// of their failure domains and services.
	byAddress                 map[string]Target
	domainCount, serviceCount int

	state State
	cut   Cut
	// sign is the first sign of the suspicion, firstSign its time, and lastSign the time
	// of the latest. Both times are zero while the state is Direct.
	sign                Sign
	firstSign, lastSign time.Time
	// failures holds the failed connections since the last opened one, by address.
	// lastOpened is the time of the opened one, and lastHeard that of the last byte.
	failures              map[string]failure
	lastOpened, lastHeard time.Time
	// answered holds the times of answers since the cut began, by address.
	answered map[string]time.Time
	// pause is the pause before the next suspicion, and pausedSince its beginning.
	pause       time.Duration
	pausedSince time.Time

	probes probing
}

// SetTargets replaces the list of backend servers. Of those with the same address only the
// first one counts.
func (r *Reach) SetTargets(targets []Target) {
	r.targets = nil
	r.byAddress = make(map[string]Target, len(targets))
	domains, services := make(map[string]bool), make(map[string]bool)
	for _, t := range targets {
		if _, known := r.byAddress[t.Address]; known {
			continue
		}
		r.targets = append(r.targets, t)
		r.byAddress[t.Address] = t
		domains[t.FailureDomain], services[t.Service] = true, true
	}
	r.domainCount, r.serviceCount = len(domains), len(services)
}

// State returns the state of the own path. A suspicion is not shown while bytes arrive
// and no connection is refused outright, so that requests do not wait for its outcome
// when backend servers are at their limit.
func (r *Reach) State(now time.Time) State {
	if r.state == Suspect && now.Sub(r.lastHeard) < recentContact && r.Evidence(now).Refused == 0 {
		return Direct
	}
	return r.state
}

// Cut returns the kind of the cut.
func (r *Reach) Cut() Cut { return r.cut }

// Evidence returns what was seen since the first sign.
func (r *Reach) Evidence(now time.Time) Evidence {
	e := Evidence{
		Sign: r.sign, Since: r.firstSign, Servers: len(r.failures),
		Heard: r.lastHeard.After(r.firstSign) && now.Sub(r.lastHeard) < quietPeriod,
	}
	domains, services := make(map[string]bool), make(map[string]bool)
	for _, f := range r.failures {
		domains[f.target.FailureDomain], services[f.target.Service] = true, true
		switch f.contact {
		case Refused:
			e.Refused++
		case Reset:
			e.Reset++
		default:
			e.TimedOut++
		}
	}
	e.FailureDomains, e.Services = len(domains), len(services)
	return e
}

// Heard records that a byte arrived from some backend server.
func (r *Reach) Heard(at time.Time) {
	if at.After(r.lastHeard) {
		r.lastHeard = at
	}
	if r.state == Suspect && r.lastHeard.After(r.lastSign) && len(r.failures) == 0 {
		r.dismiss(at)
	}
}

// Observe records the outcome of a new connection to the backend server at address.
func (r *Reach) Observe(address string, c Contact, now time.Time) {
	delete(r.probes.pending, address)
	if c == Opened {
		r.observeOpened(address, now)
		return
	}
	target, listed := r.byAddress[address]
	if !listed {
		return
	}
	if r.state == Direct {
		for a, f := range r.failures {
			if now.Sub(f.at) > failureMemory {
				delete(r.failures, a)
			}
		}
	}
	if r.failures == nil {
		r.failures = make(map[string]failure)
	}
	r.failures[address] = failure{contact: c, at: now, count: r.failures[address].count + 1, target: target}
	if r.state != Direct || len(r.failures) > 1 || now.Sub(r.lastOpened) >= recentContact {
		r.suspect(FailedContact, now)
	}
	r.decide(now)
}

// observeOpened records a connection to the backend server at address that works.
func (r *Reach) observeOpened(address string, now time.Time) {
	r.lastOpened = now
	r.Heard(now)
	if r.state != CutOff {
		r.dismiss(now)
		return
	}
	last, answered := r.answered[address]
	r.answered[address] = now
	count := 0
	for _, at := range r.answered {
		if now.Sub(at) <= restoredWithin {
			count++
		}
	}
	if count >= min(minRestoredServers, max(len(r.targets), 1)) {
		r.clear()
		r.pause = 0
		return
	}
	if !answered || now.Sub(last) > restoredWithin {
		r.probes.next = now
	}
}

// Lose records that an open connection ended without an answer.
func (r *Reach) Lose(now time.Time) { r.suspect(LostConnection, now) }

// Silent records that requests wait and nothing arrives from any backend server. The silence
// of a single backend server tells nothing about the path.
func (r *Reach) Silent(now time.Time) {
	if len(r.targets) > 1 {
		r.suspect(Silence, now)
	}
}

// Pause records that the process did not run for a while. Connections that failed
// meanwhile are no evidence.
func (r *Reach) Pause(now time.Time) {
	if r.state != CutOff {
		r.clear()
		r.lastHeard = now
	}
}

// suspect records a sign.
func (r *Reach) suspect(sign Sign, now time.Time) {
	switch r.state {
	case CutOff:
		return
	case Suspect:
		r.lastSign = now
		return
	case Direct:
	}
	pause := r.pause
	if e := r.Evidence(now); e.Servers > 1 && (e.Refused > 0 || now.Sub(r.lastHeard) >= recentContact) {
		pause = min(pause, minPause)
	}
	if now.Sub(r.pausedSince) < pause {
		return
	}
	r.state, r.sign, r.firstSign, r.lastSign = Suspect, sign, now, now
	r.probes = probing{}
}

// dismiss ends a suspicion that was not confirmed.
func (r *Reach) dismiss(now time.Time) {
	if r.state == Suspect {
		if now.Sub(r.pausedSince) > pauseMemory {
			r.pause = 0
		}
		r.pause, r.pausedSince = min(max(2*r.pause, minPause), maxPause), now
	}
	r.clear()
}

// clear sets the state to Direct and forgets the evidence.
func (r *Reach) clear() {
	r.state, r.cut = Direct, NoCut
	r.firstSign, r.lastSign = time.Time{}, time.Time{}
	clear(r.failures)
	r.answered = nil
}

// failureCount returns the number of failed connections.
func (r *Reach) failureCount() int {
	n := 0
	for _, f := range r.failures {
		n += f.count
	}
	return n
}

// decide declares a cut if the evidence suffices.
func (r *Reach) decide(now time.Time) {
	if r.state != Suspect || r.failureCount() < minFailures {
		return
	}
	e := r.Evidence(now)
	if e.FailureDomains < min(minFailedGroups, r.domainCount) || e.Services < min(minFailedGroups, r.serviceCount) {
		return
	}
	needed, doubt := minFailedServers, minDoubt
	switch {
	case e.Heard && e.Refused < min(minRefusedServers, len(r.targets)):
		needed, doubt = minRefusedServers, minFullDoubt
	case e.TimedOut < min(minFailedServers, len(r.targets)):
		needed = minRefusedServers
	}
	if e.Servers < min(needed, len(r.targets)) || now.Sub(r.firstSign) < doubt {
		return
	}
	r.state, r.cut = CutOff, Refusing
	if e.TimedOut > 0 && e.Refused+e.Reset == 0 && !e.Heard {
		r.cut = Hanging
	}
	r.answered = make(map[string]time.Time)
	r.probes = probing{next: now}
}
