package crashreports

import (
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/ownrow"
	"acaciapath.example/core/quarantine"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Guard refuses the requests with quarantined parts, and exchanges reports with other
// daemons. It is safe for concurrent use. Its exported fields must not change once it is
// used.
type Guard struct {
	// VM is the name of the daemon's VM.
	VM string
	// Table stores the rows.
	Table table.Service
	// Daemons returns the number of daemons, or 0 if it is not known. They spread their
	// writes over time.
	Daemons func() int
	// Metrics counts crashes and refusals.
	Metrics *Metrics
	// Logger logs each crash and each change of a quarantine.
	Logger *logrus.Logger

	// refused holds the quarantined parts, and suspicious states that any part is suspected
	// or quarantined. Requests read them without a lock.
	refused    atomic.Pointer[map[uint64]*refusedPart]
	suspicious atomic.Bool
	// wake makes Run decide anew, and wakeWriter makes it look for writes that are due.
	wake, wakeWriter chan struct{}

	mu     sync.Mutex // guards the fields below
	ledger *quarantine.Ledger
	// reportDue is when the report is to be written, or zero, and reportedAt when it was
	// last written.
	reportDue, reportedAt time.Time
	// row is the row of this VM, or nil before it is used. ownRowKnown states that the one from
	// before a restart has been looked for, and ownRow that there is one.
	row                 *ownrow.Row
	ownRowKnown, ownRow bool
	// writes are the rows of quarantines that are to be written or deleted.
	writes map[uint64]pendingWrite
	// versions are the versions of the rows of quarantines, and epoch is the epoch of the
	// latest whole table.
	versions map[uint64]uint64
	epoch    uint64
	// tried are the trials of this daemon that no request has used yet.
	tried map[uint64]*atomic.Bool
}

// refusedPart is a part whose requests are refused.
type refusedPart struct {
	until time.Time
	// whole states that the part is a whole request.
	whole bool
	// trial is set while one request may be tried. It is nil if this daemon has no
	// trial.
	trial *atomic.Bool
	// trialWanted is set if a request came after until.
	trialWanted atomic.Bool
}

// pendingWrite is a write of the row of a quarantined part.
type pendingWrite struct {
	due    time.Time
	remove bool
	// trial states that the write starts a trial of this daemon.
	trial bool
	value quarantine.Quarantine
}

// NewGuard returns a guard without reports, whose exported fields must be set before use.
// It registers gauges with registry.
func NewGuard(settings quarantine.Settings, registry prometheus.Registerer) *Guard {
	g := &Guard{
		Daemons: func() int { return 0 }, wake: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1), ledger: quarantine.NewLedger(settings),
		writes: make(map[uint64]pendingWrite), versions: make(map[uint64]uint64), tried: make(map[uint64]*atomic.Bool),
	}
	g.refused.Store(&map[uint64]*refusedPart{})
	registerGauges(registry, g)
	return g
}

// HasQuarantines reports whether any part is quarantined.
func (g *Guard) HasQuarantines() bool { return len(*g.refused.Load()) > 0 }

// IsSuspicious reports whether any part is suspected or quarantined. While none is, a sound
// run of a whole request need not be recorded.
func (g *Guard) IsSuspicious() bool { return g.suspicious.Load() }

// Refusal tells why a request is not sent.
type Refusal struct {
	// Until is when one request may be tried again.
	Until time.Time
	// Whole states that the request itself is quarantined, not a part of its prompt.
	Whole bool
}

// Refuses reports whether a request with the given parts must not be sent to a server, and
// why.
func (g *Guard) Refuses(parts []quarantine.Part, now time.Time) (refusal Refusal, refuses bool) {
	refused := *g.refused.Load()
	if len(refused) == 0 {
		return Refusal{}, false
	}
	for _, p := range parts {
		r := refused[p.ID]
		switch {
		case r == nil:
			continue
		case r.trial != nil && r.trial.CompareAndSwap(true, false):
			g.Logger.WithField("part", formatPart(p.ID)).Info("request with a quarantined prompt part sent as a trial")
			continue
		}
		if !now.Before(r.until) && r.trialWanted.CompareAndSwap(false, true) {
			signal(g.wake)
		}
		g.Metrics.refused.Inc()
		return Refusal{Until: r.until, Whole: r.whole}, true
	}
	return Refusal{}, false
}

// RecordCrash records that a server ended under a request with the given parts.
func (g *Guard) RecordCrash(requestID string, parts []quarantine.Part, server string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	now = now.Round(0)
	g.Metrics.crashes.Inc()
	g.mu.Lock()
	if g.ledger.RecordCrash(parts, server, now) {
		g.scheduleReportLocked(now)
	}
	g.suspicious.Store(true)
	for _, p := range parts {
		if q, ok := g.ledger.FailTrial(p.ID, g.VM, now); ok {
			g.setWriteLocked(p.ID, pendingWrite{due: now, value: q})
			g.publishLocked()
			g.logChange(changeExtended, q)
		}
	}
	g.mu.Unlock()
	fields := logrus.Fields{"request-id": requestID, "backend-server": server}
	for _, p := range parts {
		if p.Whole {
			fields["request-key"] = formatPart(p.ID)
		}
	}
	if list := formatParts(parts); len(list) > 0 {
		fields["prompt-parts"] = list
	}
	g.Logger.WithFields(fields).Info("backend server ended under a request that had just begun, it and its prompt parts are suspected")
	signal(g.wake)
}

// RecordSound records that a run with the given parts, which was sent at began, survived its
// beginning.
func (g *Guard) RecordSound(parts []quarantine.Part, began time.Time) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	lifted, tell := g.ledger.RecordSound(parts, began.Round(0))
	now := time.Now().Round(0)
	if tell {
		g.scheduleReportLocked(now)
	}
	for _, part := range lifted {
		g.removeLocked(part, changeDisproved, now)
	}
	g.mu.Unlock()
	if tell {
		signal(g.wake)
	}
}

// signal wakes the receiver of a channel.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// publishLocked publishes the quarantined parts to requests. The caller holds g.mu.
func (g *Guard) publishLocked() {
	refused := make(map[uint64]*refusedPart)
	for _, q := range g.ledger.Quarantined() {
		refused[q.Part] = &refusedPart{until: q.Until, whole: q.Whole, trial: g.tried[q.Part]}
	}
	g.refused.Store(&refused)
	g.updateSuspiciousLocked()
}

// updateSuspiciousLocked updates suspicious. The caller holds g.mu.
func (g *Guard) updateSuspiciousLocked() {
	g.suspicious.Store(g.ledger.Suspects() > 0 || len(g.ledger.Quarantined()) > 0)
}

// removeLocked ends a quarantine that the ledger no longer has, and schedules the deletion
// of its row. The caller holds g.mu.
func (g *Guard) removeLocked(part uint64, change string, now time.Time) {
	ended := g.endedLocked(part)
	delete(g.tried, part)
	if g.versions[part] != 0 {
		g.setWriteLocked(part, pendingWrite{due: now.Add(g.spread()), remove: true})
	} else {
		delete(g.writes, part)
	}
	g.publishLocked()
	g.logChange(change, ended)
}

// endedLocked describes a quarantine that has ended, for the log. The caller holds g.mu.
func (g *Guard) endedLocked(part uint64) quarantine.Quarantine {
	published := (*g.refused.Load())[part]
	return quarantine.Quarantine{Part: part, Whole: published != nil && published.whole}
}

// logChange logs and counts a change of a quarantine.
func (g *Guard) logChange(change string, q quarantine.Quarantine) {
	g.Metrics.changes.WithLabelValues(change).Inc()
	id, ended, begun := "part", "prompt part no longer quarantined, its requests are sent again", "prompt part quarantined, its requests are refused"
	if q.Whole {
		id, ended, begun = "request-key", "request no longer quarantined, it is sent again", "request quarantined, it is refused"
	}
	entry := g.Logger.WithFields(logrus.Fields{id: formatPart(q.Part), "change": change})
	if q.Until.IsZero() {
		entry.Warn(ended)
		return
	}
	entry.WithFields(logrus.Fields{"crashes": q.Crashes, "first": q.First.UTC(), "until": q.Until.UTC()}).Warn(begun)
}

// formatParts returns the ids of parts of a prompt in hexadecimal form.
func formatParts(parts []quarantine.Part) []string {
	var list []string
	for _, p := range parts {
		if !p.Whole {
			list = append(list, formatPart(p.ID))
		}
	}
	return list
}
