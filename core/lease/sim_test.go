package lease_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

const (
	duration = 8 * time.Second
	poll     = 3 * time.Second
	name     = "orders/quito-a"
	vms      = 3
)

// process is a simulated process on its own VM, with its Lease.
type process struct {
	vm      int
	holder  string
	lease   *lease.Lease
	request *inFlight
	frozen  bool
	// clock is the monotonic clock of the VM, wallOffset the error of its wall
	// clock, and rate the rate at which the monotonic clock runs.
	clock, wallOffset time.Duration
	rate              float64
	// clockStopsInFreeze reports whether the monotonic clock stops while the VM
	// is frozen; the wall clock of such a VM does not jump.
	clockStopsInFreeze bool
}

func (p *process) now(s *simulation) lease.Instant {
	return lease.Instant{Monotonic: p.clock, Wall: start.Add(s.time + p.wallOffset)}
}

// inFlight is a request that was made and not yet answered.
type inFlight struct {
	operation *porcupine.Operation
	request   lease.Request
	delivered bool
	rows      []*table.Row
	err       error
}

// simulation interleaves the requests of several processes in a random order.
type simulation struct {
	time       time.Duration
	table      *fakeTable
	processes  []*process
	abandoned  []*inFlight // requests that their process has given up
	history    []*porcupine.Operation
	events     int64
	startCount int
	// lastHolder is the process that was last able to send, at time lastSend.
	lastHolder string
	lastSend   time.Duration
	// released are the processes that started to release the lease.
	released map[string]bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{table: newFakeTable(), released: make(map[string]bool)}
	for vm := range vms {
		p := &process{
			vm:                 vm,
			rate:               rapid.Float64Range(0.99, 1.01).Draw(t, "rate"),
			clockStopsInFreeze: rapid.Bool().Draw(t, "stops"),
		}
		s.startProcess(p)
		s.processes = append(s.processes, p)
	}
	return s
}

// startProcess replaces the process on a VM by a new one.
func (s *simulation) startProcess(p *process) {
	s.startCount++
	if p.request != nil {
		s.abandoned = append(s.abandoned, p.request)
	}
	p.request = nil
	p.holder = fmt.Sprintf("vm-%d/%d", p.vm, s.startCount)
	p.lease = lease.New(lease.Terms{Name: name, Holder: p.holder, Duration: duration}, poll)
}

func (s *simulation) randomProcess(t *rapid.T) *process {
	return s.processes[rapid.IntRange(0, vms-1).Draw(t, "process")]
}

func (s *simulation) nextEvent() int64 { s.events++; return s.events }

// advance lets a random time pass.
func (s *simulation) advance(t *rapid.T) {
	s.elapse(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
}

func (s *simulation) elapse(d time.Duration) {
	s.time += d
	for _, p := range s.processes {
		if !p.frozen || !p.clockStopsInFreeze {
			p.clock += time.Duration(float64(d) * p.rate)
		}
	}
}

// run lets all processes that are not frozen make requests for a while without
// faults, except that at most one of them gets no replies.
func (s *simulation) run(t *rapid.T) {
	lossyIndex := rapid.IntRange(0, 2*vms).Draw(t, "lossy")
	for range rapid.IntRange(1, 60).Draw(t, "ticks") {
		s.elapse(200 * time.Millisecond)
		for i, p := range s.processes {
			if p.frozen {
				continue
			}
			s.request(p)
			if p.request == nil {
				continue
			}
			if i == lossyIndex {
				s.giveUp(p)
				continue
			}
			s.reply(t, p)
			s.send(t)
		}
	}
}

// startRequest lets a random process make its next request.
func (s *simulation) startRequest(t *rapid.T) {
	if p := s.randomProcess(t); !p.frozen {
		s.request(p)
	}
}

func (s *simulation) request(p *process) {
	if p.request != nil {
		return
	}
	request := p.lease.Next(p.now(s))
	if request.Kind == lease.Wait {
		return
	}
	operation := &porcupine.Operation{ClientId: len(s.history), Input: inputOf(request), Call: s.nextEvent(), Output: tableOutput{unknown: true}, Return: -1}
	s.history = append(s.history, operation)
	p.request = &inFlight{request: request, operation: operation}
}

// deliver applies a request to the table, once.
func (s *simulation) deliver(f *inFlight) {
	if f.delivered {
		return
	}
	f.delivered = true
	if f.request.Kind == lease.Read {
		f.rows = s.table.get(f.request.Get)
		return
	}
	f.rows, f.err = s.table.commit(f.request.Commit)
}

// answer ends the request of a random process with a reply or a failure.
func (s *simulation) answer(t *rapid.T) {
	p := s.randomProcess(t)
	if p.frozen || p.request == nil {
		return
	}
	switch rapid.SampledFrom([]string{"reply", "lost", "down", "late"}).Draw(t, "outcome") {
	case "lost":
		s.deliver(p.request)
		s.giveUp(p)
	case "late":
		s.giveUp(p)
	case "down":
		s.replyUnavailable(p)
	default:
		s.reply(t, p)
	}
}

// giveUp ends the request of a process without a reply. The request may still reach
// the table later.
func (s *simulation) giveUp(p *process) {
	s.abandoned = append(s.abandoned, p.request)
	p.lease.HandleFailure(p.request.request, errNoReply)
	p.request = nil
}

// replyUnavailable answers a request that has not reached the table with the error
// of an outage.
func (s *simulation) replyUnavailable(p *process) {
	f := p.request
	if f.delivered {
		s.giveUp(p)
		return
	}
	p.request = nil
	f.delivered = true
	f.operation.Output, f.operation.Return = tableOutput{unavailable: true}, s.nextEvent()
	p.lease.HandleFailure(f.request, table.MakeUnavailable(errNoReply))
}

// reply delivers the request of a process and its result.
func (s *simulation) reply(t *rapid.T, p *process) {
	f := p.request
	p.request = nil
	s.deliver(f)
	f.operation.Output, f.operation.Return = outputOf(f), s.nextEvent()
	switch {
	case f.err != nil:
		p.lease.HandleFailure(f.request, f.err)
	case f.request.Kind == lease.Read:
		if err := p.lease.HandleRead(f.rows, p.now(s)); err != nil {
			t.Fatal(err)
		}
	default:
		p.lease.HandleCommit(f.request, f.rows, p.now(s))
	}
}

// send lets each process that holds a valid grant send to a receiver that ignores
// fencing tokens. The test fails if a process sends within the margin after the last
// send of another process that did not release the lease.
func (s *simulation) send(t *rapid.T) {
	for _, p := range s.processes {
		grant := p.lease.Grant()
		if p.frozen || !grant.MaySend(p.now(s)) {
			continue
		}
		// The rates of the clocks differ by up to 1 % either way, over a whole lease.
		margin := lease.Terms{Duration: duration}.Margin() - duration/20
		if s.lastHolder != p.holder && s.lastHolder != "" && !s.released[s.lastHolder] && s.time-s.lastSend < margin {
			t.Fatalf("%s sent only %v after %s", p.holder, s.time-s.lastSend, s.lastHolder)
		}
		s.lastHolder, s.lastSend = p.holder, s.time
		at := s.nextEvent()
		s.history = append(s.history, &porcupine.Operation{
			ClientId: len(s.history), Input: tableInput{kind: inputSend, holder: p.holder, fence: grant.Fence}, Call: at, Output: tableOutput{}, Return: s.nextEvent(),
		})
	}
}

// operations returns the recorded history. Operations that were never answered may
// take effect at any later time.
func (s *simulation) operations() []porcupine.Operation {
	history := make([]porcupine.Operation, 0, len(s.history))
	for _, o := range s.history {
		if o.Return < 0 {
			if o.Input.(tableInput).kind == inputRead {
				continue
			}
			o.Return = s.events + 1
		}
		history = append(history, *o)
	}
	return history
}

// TestLeaseSafety checks that only the holder sends and that another process sends
// only after the margin, with frozen VMs, clock jumps, restarts, lost and late calls
// and releases in a random order.
func TestLeaseSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": s.advance,
			"ask":     s.startRequest,
			"answer":  s.answer,
			"run":     s.run,
			"run2":    s.run,
			"arrive": func(t *rapid.T) {
				if p := s.randomProcess(t); p.request != nil {
					s.deliver(p.request)
				}
			},
			"late": func(t *rapid.T) {
				if len(s.abandoned) > 0 {
					s.deliver(s.abandoned[rapid.IntRange(0, len(s.abandoned)-1).Draw(t, "abandoned")])
				}
			},
			"freeze": func(t *rapid.T) { s.randomProcess(t).frozen = true },
			"resume": func(*rapid.T) {
				for _, p := range s.processes {
					p.frozen = false
				}
			},
			"jump": func(t *rapid.T) {
				if p := s.randomProcess(t); !p.clockStopsInFreeze {
					p.wallOffset = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "seconds")) * time.Second
				}
			},
			"restart": func(t *rapid.T) { s.startProcess(s.randomProcess(t)) },
			"release": func(t *rapid.T) {
				if p := s.randomProcess(t); !p.frozen && rapid.IntRange(0, 3).Draw(t, "release") == 0 {
					p.lease.Release()
					s.released[p.holder] = true
				}
			},
			"": s.send,
		})
		if porcupine.CheckOperations(leaseModel, s.operations()) != true {
			t.Fatal("the history of the lease row and the sends is not linearizable")
		}
	})
}
