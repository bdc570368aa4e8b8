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

// process is a simulated process with a lease, on a VM of its own.
type process struct {
	client  int
	holder  string
	lease   *lease.Lease
	request *flight
	frozen  bool
	// clock, jump and rate make up the VM's clocks: the monotonic clock, how
	// far the wall clock is off, and how fast the monotonic clock runs.
	clock, jump time.Duration
	rate        float64
	// stops says whether the monotonic clock stands still in a freeze; the
	// wall clock of such a VM does not jump.
	stops bool
}

func (p *process) now(s *simulation) lease.Instant {
	return lease.Instant{Monotonic: p.clock, Wall: epoch.Add(s.time + p.jump)}
}

// flight is a request on its way.
type flight struct {
	operation *porcupine.Operation
	request   lease.Request
	arrived   bool
	rows      []*table.Row
	err       error
}

// simulation interleaves the requests of several processes at random.
type simulation struct {
	time      time.Duration
	table     *fakeTable
	processes []*process
	late      []*flight // requests that their process has given up
	history   []*porcupine.Operation
	events    int64
	starts    int
	// lastHolder is the process that could last send, at lastSend.
	lastHolder string
	lastSend   time.Duration
	// released are the processes that gave the lease back.
	released map[string]bool
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{table: newFakeTable(), released: make(map[string]bool)}
	for client := range vms {
		p := &process{
			client: client,
			rate:   rapid.Float64Range(0.99, 1.01).Draw(t, "rate"),
			stops:  rapid.Bool().Draw(t, "stops"),
		}
		s.start(p)
		s.processes = append(s.processes, p)
	}
	return s
}

// start replaces the process on a VM.
func (s *simulation) start(p *process) {
	s.starts++
	if p.request != nil {
		s.late = append(s.late, p.request)
	}
	p.request = nil
	p.holder = fmt.Sprintf("vm-%d/%d", p.client, s.starts)
	p.lease = lease.New(lease.Terms{Name: name, Holder: p.holder, Duration: duration}, poll)
}

func (s *simulation) pick(t *rapid.T) *process {
	return s.processes[rapid.IntRange(0, vms-1).Draw(t, "process")]
}

func (s *simulation) event() int64 { s.events++; return s.events }

// advance lets time pass.
func (s *simulation) advance(t *rapid.T) {
	s.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
}

func (s *simulation) pass(d time.Duration) {
	s.time += d
	for _, p := range s.processes {
		if !p.frozen || !p.stops {
			p.clock += time.Duration(float64(d) * p.rate)
		}
	}
}

// run lets all processes that are not frozen work for a while without faults,
// but for one whose calls are lost.
func (s *simulation) run(t *rapid.T) {
	cut := rapid.IntRange(0, 2*vms).Draw(t, "cut")
	for range rapid.IntRange(1, 60).Draw(t, "ticks") {
		s.pass(200 * time.Millisecond)
		for i, p := range s.processes {
			if p.frozen {
				continue
			}
			s.request(p)
			if p.request == nil {
				continue
			}
			if i == cut {
				s.lose(p)
				continue
			}
			s.reply(t, p)
			s.send(t)
		}
	}
}

// ask lets a process make its next request.
func (s *simulation) ask(t *rapid.T) {
	if p := s.pick(t); !p.frozen {
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
	operation := &porcupine.Operation{ClientId: len(s.history), Input: inputOf(request), Call: s.event(), Output: tableOutput{unknown: true}, Return: -1}
	s.history = append(s.history, operation)
	p.request = &flight{request: request, operation: operation}
}

// arrive lets a request reach the table.
func (s *simulation) arrive(f *flight) {
	if f.arrived {
		return
	}
	f.arrived = true
	if f.request.Kind == lease.Read {
		f.rows = s.table.get(f.request.Get)
		return
	}
	f.rows, f.err = s.table.commit(f.request.Commit)
}

// answer lets a process take in an answer, or a failure of its call.
func (s *simulation) answer(t *rapid.T) {
	p := s.pick(t)
	if p.frozen || p.request == nil {
		return
	}
	switch rapid.SampledFrom([]string{"reply", "lost", "down", "late"}).Draw(t, "outcome") {
	case "lost":
		s.arrive(p.request)
		s.lose(p)
	case "late":
		s.lose(p)
	case "down":
		s.refuse(p)
	default:
		s.reply(t, p)
	}
}

// lose lets a process give up its request, which may still arrive.
func (s *simulation) lose(p *process) {
	s.late = append(s.late, p.request)
	p.lease.HandleFailure(p.request.request, errLost)
	p.request = nil
}

// refuse answers a request that has not arrived with an outage.
func (s *simulation) refuse(p *process) {
	f := p.request
	if f.arrived {
		s.lose(p)
		return
	}
	p.request = nil
	f.arrived = true
	f.operation.Output, f.operation.Return = tableOutput{refused: true}, s.event()
	p.lease.HandleFailure(f.request, table.MakeUnavailable(errLost))
}

// reply answers a request.
func (s *simulation) reply(t *rapid.T, p *process) {
	f := p.request
	p.request = nil
	s.arrive(f)
	f.operation.Output, f.operation.Return = outputOf(f), s.event()
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

// send lets each process that believes that it may, send to a receiver that
// ignores fencing numbers.
func (s *simulation) send(t *rapid.T) {
	for _, p := range s.processes {
		grant := p.lease.Grant()
		if p.frozen || !grant.MaySend(p.now(s)) {
			continue
		}
		margin := lease.Terms{Duration: duration}.Margin() - duration/20 // 1 % either way on a whole lease
		if s.lastHolder != p.holder && s.lastHolder != "" && !s.released[s.lastHolder] && s.time-s.lastSend < margin {
			t.Fatalf("%s sends %v after %s", p.holder, s.time-s.lastSend, s.lastHolder)
		}
		s.lastHolder, s.lastSend = p.holder, s.time
		at := s.event()
		s.history = append(s.history, &porcupine.Operation{
			ClientId: len(s.history), Input: tableInput{kind: inputSend, holder: p.holder, fence: grant.Fence}, Call: at, Output: tableOutput{}, Return: s.event(),
		})
	}
}

// operations returns the recorded history; what was never answered may take
// effect at any later time.
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

func TestLeaseSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": s.advance,
			"ask":     s.ask,
			"answer":  s.answer,
			"run":     s.run,
			"run2":    s.run,
			"arrive": func(t *rapid.T) {
				if p := s.pick(t); p.request != nil {
					s.arrive(p.request)
				}
			},
			"late": func(t *rapid.T) {
				if len(s.late) > 0 {
					s.arrive(s.late[rapid.IntRange(0, len(s.late)-1).Draw(t, "late")])
				}
			},
			"freeze": func(t *rapid.T) { s.pick(t).frozen = true },
			"resume": func(*rapid.T) {
				for _, p := range s.processes {
					p.frozen = false
				}
			},
			"jump": func(t *rapid.T) {
				if p := s.pick(t); !p.stops {
					p.jump = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "seconds")) * time.Second
				}
			},
			"restart": func(t *rapid.T) { s.start(s.pick(t)) },
			"release": func(t *rapid.T) {
				if p := s.pick(t); !p.frozen && rapid.IntRange(0, 3).Draw(t, "release") == 0 {
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
