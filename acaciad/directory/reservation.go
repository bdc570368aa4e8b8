package directory

import (
	"context"
	"time"

	"acaciapath.example/core/order"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
)

// Outcome is how a request ended at a backend server.
type Outcome int

// The outcomes.
const (
	// Succeeded is said of a whole answer.
	Succeeded Outcome = iota
	// Failed is said of a backend server that could not be reached or broke off.
	Failed
	// Rejected is said of a backend server that took no more requests.
	Rejected
	// Misdirected is said of a backend server at whose address another one answered.
	Misdirected
	// Neutral tells nothing about the backend server.
	Neutral
)

// Reservation is room on a backend server that a request took. It ends by Finish.
type Reservation struct {
	// Spec is the backend server.
	Spec replica.Spec
	// Running and UnreadTokens are what this daemon had there when it was taken.
	Running, UnreadTokens int

	directory *Directory
	pool      *placement.Pool
	server    *placement.Server
	wish      placement.Requirements
	departure *departure
	read      bool
	// pressure and number measure the time to the first event.
	pressure *order.Pressure
	number   uint64
}

// Leaving returns a context that ends once the backend server is known to leave.
func (p *Reservation) Leaving() context.Context { return p.departure.ctx }

// LeavesAt returns when the backend server leaves. It is called after Leaving has
// ended.
func (p *Reservation) LeavesAt() time.Time { return p.departure.at }

// MarkPromptRead says that the backend server has read the prompt.
func (p *Reservation) MarkPromptRead(now time.Time) {
	p.directory.mu.Lock()
	defer p.directory.mu.Unlock()
	p.readLocked(now)
}

func (p *Reservation) readLocked(now time.Time) {
	if p.read {
		return
	}
	p.read = true
	p.server.RecordFirstEvent(p.wish)
	if p.pressure != nil {
		p.pressure.End(p.number, now)
	}
}

// Finish gives the place back.
func (p *Reservation) Finish(outcome Outcome, now time.Time) {
	p.directory.mu.Lock()
	defer p.directory.mu.Unlock()
	p.readLocked(now)
	p.server.EndRequest(now)
	switch outcome {
	case Succeeded:
		p.server.RecordSuccess()
	case Failed:
		p.server.RecordFailure(now)
	case Rejected:
		p.server.RecordRejection(now)
	case Misdirected:
		p.pool.SetAbsent(p.server)
	}
}
