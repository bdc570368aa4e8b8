package directory

import (
	"context"
	"slices"
	"time"

	"acaciapath.example/core/placement"
)

const (
	// maxWaiting is the maximum number of requests of a service that wait for room.
	maxWaiting = 256
	// patienceMargin is how much longer than expected a request waits, as a factor.
	patienceMargin = 2
	// waitCheck is how often a request that waits looks for room if it is not woken.
	waitCheck = 50 * time.Millisecond
)

// waiter is a request that waits for room at brittle servers.
type waiter struct {
	priority int
	// restricted states that only some servers may run the request, so that it stops no other.
	restricted bool
	// woken gets a value when there may be room.
	woken chan struct{}
}

// line holds the requests of a service that wait for room, the most urgent first and those of
// equal priority in order of arrival. A nil line is empty.
type line struct {
	waiters []*waiter
}

// len returns the number of requests that wait.
func (l *line) len() int {
	if l == nil {
		return 0
	}
	return len(l.waiters)
}

// isBefore reports whether a request waits that comes before a new one of a priority.
func (l *line) isBefore(priority int) bool {
	return l.len() > 0 && slices.ContainsFunc(l.waiters, func(w *waiter) bool { return !w.restricted && w.priority <= priority })
}

// ahead returns the number of requests that come before w, which is not in l.
func (l *line) ahead(w *waiter) int {
	n := 0
	for _, other := range l.waiters {
		if other.priority <= w.priority {
			n++
		}
	}
	return n
}

// isFirst reports whether no request that any server may run comes before w.
func (l *line) isFirst(w *waiter) bool {
	for _, other := range l.waiters {
		if other == w {
			return true
		}
		if !other.restricted {
			return false
		}
	}
	return false
}

// add adds a request after those that are as urgent.
func (l *line) add(w *waiter) {
	i := slices.IndexFunc(l.waiters, func(other *waiter) bool { return other.priority > w.priority })
	if i < 0 {
		i = len(l.waiters)
	}
	l.waiters = slices.Insert(l.waiters, i, w)
}

// remove removes a request and wakes those that follow.
func (l *line) remove(w *waiter) {
	l.waiters = slices.DeleteFunc(l.waiters, func(other *waiter) bool { return other == w })
	l.wake()
}

// wake wakes the first request, and the restricted ones before it.
func (l *line) wake() {
	if l == nil {
		return
	}
	for _, w := range l.waiters {
		select {
		case w.woken <- struct{}{}:
		default:
		}
		if !w.restricted {
			return
		}
	}
}

// isRestricted reports whether only some servers of a service may run a request.
func isRestricted(r placement.Requirements) bool {
	return r.OnlyVersion || r.CopiedKVTokens > 0 || len(r.FailedServers) > 0
}

// HasBrittle reports whether a backend server of a service may be brittle.
func (d *Directory) HasBrittle(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[service]
	return pool != nil && pool.BrittleServers(now) > 0
}

// ReserveWithin reserves a slot as Reserve does, and waits for it if the servers of the service are
// brittle and a slot is expected to be free within patience, after those that wait already. It then
// waits for patienceMargin times as long. It returns nil at once if not.
func (d *Directory) ReserveWithin(ctx context.Context, service string, requirements placement.Requirements, patience time.Duration) *Reservation {
	w := &waiter{priority: requirements.Priority, restricted: isRestricted(requirements), woken: make(chan struct{}, 1)}
	if !d.join(service, requirements, w, patience) {
		return nil
	}
	end := time.After(patienceMargin * patience)
	for {
		check := time.After(waitCheck)
		select {
		case <-w.woken:
		case <-check:
		case <-end:
			return d.leave(service, w)
		case <-ctx.Done():
			return d.leave(service, w)
		}
		if r := d.reserveFirst(service, requirements, w); r != nil {
			return r
		}
	}
}

// join adds a request to those that wait. It reports false if it would wait for longer than
// patience.
func (d *Directory) join(service string, requirements placement.Requirements, w *waiter, patience time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[service]
	if pool == nil {
		return false
	}
	if d.lines[service] == nil {
		d.lines[service] = &line{}
	}
	l := d.lines[service]
	free := pool.BrittleRate(requirements, time.Now()) * patience.Seconds()
	if free <= float64(l.ahead(w)) || l.len() >= maxWaiting {
		return false
	}
	l.add(w)
	return true
}

// leave removes a request from those that wait. It returns nil, for a request without room.
func (d *Directory) leave(service string, w *waiter) *Reservation {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lines[service].remove(w)
	return nil
}

// reserveFirst reserves a slot for a request that waits, if it is the first one and there is
// room.
func (d *Directory) reserveFirst(service string, requirements placement.Requirements, w *waiter) *Reservation {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !w.restricted && !d.lines[service].isFirst(w) {
		return nil
	}
	r := d.reserveLocked(service, requirements, time.Now())
	if r != nil {
		d.lines[service].remove(w)
	}
	return r
}

// HearBrittle records whether the answer to the request says that the backend server is brittle,
// and the number of rejections in a second that it bears. rejected states that the server did not
// run the request. It reports whether the servers of the service are brittle since, or no longer.
func (r *Reservation) HearBrittle(brittle bool, rejections float64, rejected bool, now time.Time) (begun, ended bool) {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	if !rejected {
		r.server.ConfirmRequest(r.reservedAt, now)
	}
	switch {
	case brittle:
		begun = r.pool.SetBrittle(r.server, rejections, now)
	case !rejected:
		ended = r.pool.EndBrittle(r.server, r.reservedAt)
	}
	r.directory.lines[r.service].wake()
	return begun, ended
}
