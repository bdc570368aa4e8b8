package crashreports

import (
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/gen/table"
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

	// refused holds the quarantined parts. Requests read it without a lock.
	refused atomic.Pointer[map[uint64]*refusedPart]
	// wake makes Run decide anew, and wakeWriter makes it look for writes that are due.
	wake, wakeWriter chan struct{}

	mu     sync.Mutex // guards the fields below
	ledger *quarantine.Ledger
	// reportDue is when the report is to be written, or zero, and reportedAt when it was
	// last written.
	reportDue, reportedAt time.Time
	// ownRowKnown states that the row of this VM from before a restart has been looked for,
	// and ownRow that there is a row.
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

// Refuses reports whether a request with the given shared parts must not be sent to an
// engine, and until when.
func (g *Guard) Refuses(parts []quarantine.Part, now time.Time) (until time.Time, refuses bool) {
	refused := *g.refused.Load()
	if len(refused) == 0 {
		return time.Time{}, false
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
		return r.until, true
	}
	return time.Time{}, false
}

// RecordCrash records that a server ended under a request with the given shared parts.
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
	for _, p := range parts {
		if q, ok := g.ledger.FailTrial(p.ID, g.VM, now); ok {
			g.setWriteLocked(p.ID, pendingWrite{due: now, value: q})
			g.publishLocked()
			g.logChange(changeExtended, q)
		}
	}
	g.mu.Unlock()
	g.Logger.WithFields(logrus.Fields{"request-id": requestID, "backend-server": server, "prompt-parts": formatParts(parts)}).
		Info("backend server ended under a request that had just begun, its prompt parts are suspected")
	signal(g.wake)
}

// RecordSound records that a run with the given shared parts, which was sent at began,
// survived its beginning.
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
		refused[q.Part] = &refusedPart{until: q.Until, trial: g.tried[q.Part]}
	}
	g.refused.Store(&refused)
}

// removeLocked ends a quarantine that the ledger no longer has, and schedules the deletion
// of its row. The caller holds g.mu.
func (g *Guard) removeLocked(part uint64, change string, now time.Time) {
	delete(g.tried, part)
	if g.versions[part] != 0 {
		g.setWriteLocked(part, pendingWrite{due: now.Add(g.spread()), remove: true})
	} else {
		delete(g.writes, part)
	}
	g.publishLocked()
	g.logChange(change, quarantine.Quarantine{Part: part})
}

// logChange logs and counts a change of a quarantine.
func (g *Guard) logChange(change string, q quarantine.Quarantine) {
	g.Metrics.changes.WithLabelValues(change).Inc()
	entry := g.Logger.WithFields(logrus.Fields{"part": formatPart(q.Part), "change": change})
	if q.Until.IsZero() {
		entry.Warn("prompt part no longer quarantined, its requests are sent again")
		return
	}
	entry.WithFields(logrus.Fields{"crashes": q.Crashes, "first": q.First.UTC(), "until": q.Until.UTC()}).
		Warn("prompt part quarantined, its requests are refused")
}

// formatParts returns the ids of parts in hexadecimal form.
func formatParts(parts []quarantine.Part) []string {
	list := make([]string, len(parts))
	for i, p := range parts {
		list[i] = formatPart(p.ID)
	}
	return list
}
