package forwarding

import "time"

// Times of detours.
const (
	// checkInterval is the time between checks whether the own path reaches a backend server
	// again.
	checkInterval = time.Second
	// checkTimeout is the time after which a check without an outcome is repeated.
	checkTimeout = 2 * time.Second
	// deadMemory is how long neighbours are not asked again for a backend server that they do not
	// reach either.
	deadMemory = 5 * time.Second
)

// Budget of questions to neighbours whether they reach a backend server. Those that end with a detour
// cost nothing.
const (
	detourBurst     = 20
	detourPerSecond = 4
)

// Knowledge is what is known of a backend server that the own path did not reach.
type Knowledge int

// Knowledge of backend servers.
const (
	// Unknown means that neighbours were not asked lately.
	Unknown Knowledge = iota
	// Asking means that they are being asked.
	Asking
	// Detoured means that a neighbour reaches the backend server.
	Detoured
	// Dead means that neighbours do not reach it either.
	Dead
)

// serverDetour is what is known of a backend server that the own path did not reach.
type serverDetour struct {
	knowledge Knowledge
	// until is when the own path is checked next, if knowledge is Detoured, and otherwise the time
	// until which neighbours are not asked again.
	until time.Time
}

// Detours knows the backend servers that the own path does not reach although neighbours do, while
// it reaches others. It is not safe for concurrent use.
type Detours struct {
	detours   map[string]*serverDetour
	available float64
	updated   time.Time
}

// NewDetours returns detours to no backend server.
func NewDetours(now time.Time) *Detours {
	return &Detours{detours: make(map[string]*serverDetour), available: detourBurst, updated: now}
}

// Choose reports whether a request to the backend server at address goes through a neighbour, and
// whether the own path is to be checked now. The outcome of the check is recorded by Reached or
// ReachedByNeighbour.
func (d *Detours) Choose(address string, now time.Time) (detoured, check bool) {
	known := d.detours[address]
	if known == nil || known.knowledge != Detoured {
		return false, false
	}
	if check = !now.Before(known.until); check {
		known.until = now.Add(checkTimeout)
	}
	return true, check
}

// Knowledge returns what is known of a backend server.
func (d *Detours) Knowledge(address string, now time.Time) Knowledge {
	known := d.detours[address]
	if known == nil || known.knowledge != Detoured && !now.Before(known.until) {
		return Unknown
	}
	return known.knowledge
}

// MayAsk reports whether neighbours may be asked whether they reach a backend server that the own
// path did not reach, and takes that from the budget. They are asked once at a time for each.
func (d *Detours) MayAsk(address string, now time.Time) bool {
	if elapsed := now.Sub(d.updated); elapsed > 0 {
		d.available = min(d.available+detourPerSecond*elapsed.Seconds(), detourBurst)
		d.updated = now
	}
	known := d.detours[address]
	if known != nil && (known.knowledge == Detoured || now.Before(known.until)) || d.available < 1 {
		return false
	}
	d.available--
	d.forget(now)
	d.detours[address] = &serverDetour{knowledge: Asking, until: now.Add(checkTimeout)}
	return true
}

// ReachedByNeighbour records that a neighbour reaches a backend server that the own path does not
// reach, after MayAsk. It reports whether the detour is new.
func (d *Detours) ReachedByNeighbour(address string, now time.Time) bool {
	d.available = min(d.available+1, detourBurst)
	known := d.detours[address]
	isNew := known == nil || known.knowledge != Detoured
	if isNew {
		d.forget(now)
		d.detours[address] = &serverDetour{knowledge: Detoured, until: now.Add(checkInterval)}
	}
	return isNew
}

// NotReached records that the own path still does not reach a backend server.
func (d *Detours) NotReached(address string, now time.Time) {
	if known := d.detours[address]; known != nil && known.knowledge == Detoured {
		known.until = now.Add(checkInterval)
	}
}

// NotReachedByNeighbours records that neighbours do not reach a backend server either.
func (d *Detours) NotReachedByNeighbours(address string, now time.Time) {
	d.forget(now)
	d.detours[address] = &serverDetour{knowledge: Dead, until: now.Add(deadMemory)}
}

// Reached records that the own path reaches a backend server. It reports whether that ends a
// detour.
func (d *Detours) Reached(address string) bool {
	known := d.detours[address]
	delete(d.detours, address)
	return known != nil && known.knowledge == Detoured
}

// forget removes what is no longer of use: backend servers that were dead, and detours that were
// not used for a while.
func (d *Detours) forget(now time.Time) {
	for address, known := range d.detours {
		if now.Sub(known.until) > 2*deadMemory {
			delete(d.detours, address)
		}
	}
}

// Len returns the number of detours.
func (d *Detours) Len() int {
	n := 0
	for _, known := range d.detours {
		if known.knowledge == Detoured {
			n++
		}
	}
	return n
}
