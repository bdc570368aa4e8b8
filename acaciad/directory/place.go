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
	// Full is said of a backend server that took no more requests.
	Full
	// Absent is said of a backend server at whose address another one answered.
	Absent
	// Neutral tells nothing about the backend server.
	Neutral
)

// Place is room on a backend server that a request took. It ends by Finish.
type Place struct {
	// Spec is the backend server.
	Spec replica.Spec
	// Running and Reading are what this daemon had there when it was taken.
	Running, Reading int

	directory *Directory
	pool      *placement.Pool
	server    *placement.Server
	wish      placement.Wish
	departure *departure
	read      bool
	// pressure and number measure the time to the first event.
	pressure *order.Pressure
	number   uint64
}

// Leaving returns a context that ends once the backend server is known to leave.
func (p *Place) Leaving() context.Context { return p.departure.ctx }

// LeavesAt returns when the backend server leaves. It is called after Leaving has
// ended.
func (p *Place) LeavesAt() time.Time { return p.departure.at }

// Read says that the backend server has read the prompt.
func (p *Place) Read(now time.Time) {
	p.directory.mu.Lock()
	defer p.directory.mu.Unlock()
	p.readLocked(now)
}

func (p *Place) readLocked(now time.Time) {
	if p.read {
		return
	}
	p.read = true
	p.server.Read(p.wish)
	if p.pressure != nil {
		p.pressure.End(p.number, now)
	}
}

// Finish gives the place back.
func (p *Place) Finish(outcome Outcome, now time.Time) {
	p.directory.mu.Lock()
	defer p.directory.mu.Unlock()
	p.readLocked(now)
	p.server.Finish(now)
	switch outcome {
	case Succeeded:
		p.server.Succeed()
	case Failed:
		p.server.Fail(now)
	case Full:
		p.server.Reject(now)
	case Absent:
		p.pool.SetAbsent(p.server)
	}
}
