package lease_test

import (
	"maps"
	"testing"
	"time"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// restorableTable is a table that is sometimes replaced by a backup. Its versions are
// joined with the epoch. Like the platform's, it does not know the epoch of a condition.
type restorableTable struct {
	rows    map[string]*table.Row
	version uint64
	epoch   uint64
	backups []restorableTable
}

func newRestorableTable() *restorableTable {
	return &restorableTable{rows: make(map[string]*table.Row), epoch: 1}
}

// backUp keeps a copy of the table, one of at most 4.
func (t *restorableTable) backUp() {
	t.backups = append(t.backups, restorableTable{rows: maps.Clone(t.rows), version: t.version})
	if len(t.backups) > 4 {
		t.backups = t.backups[1:]
	}
}

// restore replaces the table by a backup and starts the next epoch.
func (t *restorableTable) restore(backup restorableTable) {
	t.epoch++
	t.version, t.rows = backup.version, make(map[string]*table.Row)
	for key, row := range backup.rows {
		_, version := epoch.Split(row.Version)
		t.rows[key] = &table.Row{Key: key, Version: epoch.Join(t.epoch, version), Value: row.Value}
	}
}

// call answers a request, as the client of the platform's table does.
func (t *restorableTable) call(r lease.Request) ([]*table.Row, error) {
	var rows []*table.Row
	if r.Kind == lease.Read {
		for _, key := range r.Get.Keys {
			if row := t.rows[key]; row != nil {
				rows = append(rows, row)
			}
		}
		return rows, nil
	}
	outdated := false
	for _, c := range r.Commit.Conditions {
		known, want := epoch.Split(c.Version)
		var got uint64
		if row := t.rows[c.Key]; row != nil {
			_, got = epoch.Split(row.Version)
		}
		if got != want {
			return nil, &table.Conflict{Rows: []*table.Row{{Key: c.Key}}}
		}
		outdated = outdated || known > 0 && known < t.epoch
	}
	t.version++
	for _, w := range r.Commit.Writes {
		row := &table.Row{Key: w.Key, Version: epoch.Join(t.epoch, t.version), Value: w.Value}
		t.rows[w.Key] = row
		rows = append(rows, row)
	}
	if outdated {
		return nil, errNoReply
	}
	return rows, nil
}

// candidate is a process with a lease, and its request that is on its way.
type candidate struct {
	lease   *lease.Lease
	holder  string
	request *lease.Request
	clock   time.Duration
	frozen  bool
}

// now returns the time at a candidate, whose wall clock is right.
func (p *candidate) now(elapsed time.Duration) lease.Instant {
	return lease.Instant{Monotonic: p.clock, Wall: start.Add(elapsed)}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLeaseSafetyAcrossRestore restores the table from backups while processes compete for
// a lease, with lost and late calls, frozen processes and restarts. Sends of two processes
// must be apart by the margin, fencing tokens must not go back, and none may belong to two
// holders.
func TestLeaseSafetyAcrossRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := newRestorableTable()
		elapsed, starts := time.Duration(0), 0
		var processes []*candidate
		var late []lease.Request
		poll := rapid.SampledFrom([]time.Duration{duration / 4, duration * 2}).Draw(t, "poll")
		launch := func() *candidate {
			starts++
			holder := string(rune('a' + starts%26))
			terms := lease.Terms{Name: name, Holder: holder + time.Duration(starts).String(), Duration: duration}
			return &candidate{lease: lease.New(terms, poll), holder: terms.Holder}
		}
		for range vms {
			processes = append(processes, launch())
		}
		var lastHolder string
		var lastSend time.Duration
		var lastFence uint64
		holders := make(map[uint64]string)
		send := func() {
			for _, p := range processes {
				grant := p.lease.Grant()
				if p.frozen || !grant.MaySend(p.now(elapsed)) {
					continue
				}
				if lastHolder != "" && lastHolder != p.holder && elapsed-lastSend < duration/4 {
					t.Fatalf("%s sends %s after %s", p.holder, elapsed-lastSend, lastHolder)
				}
				if grant.Fence < lastFence {
					t.Fatalf("%s sends with token %d after %d", p.holder, grant.Fence, lastFence)
				}
				if other, known := holders[grant.Fence]; known && other != p.holder {
					t.Fatalf("%s and %s send with token %d", other, p.holder, grant.Fence)
				}
				holders[grant.Fence] = p.holder
				lastHolder, lastSend, lastFence = p.holder, elapsed, grant.Fence
			}
		}
		step := func(p *candidate, outcome string) {
			if p.frozen {
				return
			}
			if p.request == nil {
				p.lease.SetEpoch(service.epoch, p.now(elapsed))
				if r := p.lease.Next(p.now(elapsed)); r.Kind != lease.Wait {
					p.request = &r
				}
				return
			}
			r := *p.request
			p.request = nil
			if outcome == "late" {
				late = append(late, r)
				p.lease.HandleFailure(r, errNoReply)
				return
			}
			rows, err := service.call(r)
			if outcome == "lost" {
				err = errNoReply
			} else {
				p.lease.SetEpoch(service.epoch, p.now(elapsed))
			}
			switch {
			case err != nil:
				p.lease.HandleFailure(r, err)
			case r.Kind == lease.Read:
				if err := p.lease.HandleRead(rows, p.now(elapsed)); err != nil {
					t.Fatal(err)
				}
			default:
				p.lease.HandleCommit(r, rows, p.now(elapsed))
			}
		}
		random := func(t *rapid.T) *candidate { return processes[rapid.IntRange(0, vms-1).Draw(t, "process")] }
		wait := func(d time.Duration) {
			elapsed += d
			for _, p := range processes {
				p.clock += d
			}
		}
		run := func(t *rapid.T) {
			for range rapid.IntRange(1, 80).Draw(t, "ticks") {
				wait(200 * time.Millisecond)
				for _, p := range processes {
					step(p, "reply")
					step(p, "reply")
				}
				send()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				wait(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"run":  run,
			"run2": run,
			"step": func(t *rapid.T) {
				step(random(t), rapid.SampledFrom([]string{"reply", "lost", "late"}).Draw(t, "outcome"))
			},
			"late": func(t *rapid.T) {
				if len(late) > 0 {
					_, _ = service.call(late[rapid.IntRange(0, len(late)-1).Draw(t, "late")])
				}
			},
			"back up": func(*rapid.T) { service.backUp() },
			"restore": func(t *rapid.T) {
				if len(service.backups) > 0 {
					service.restore(service.backups[rapid.IntRange(0, len(service.backups)-1).Draw(t, "backup")])
				}
			},
			"freeze": func(t *rapid.T) { random(t).frozen = true },
			"resume": func(*rapid.T) {
				for _, p := range processes {
					p.frozen = false
				}
			},
			"restart": func(t *rapid.T) { processes[rapid.IntRange(0, vms-1).Draw(t, "process")] = launch() },
			"":        func(*rapid.T) { send() },
		})
	})
}

// TestLeaseIsHeldAgainAfterRestore checks that the holder goes on at once after a
// restoration while its grant is valid, and that otherwise another process acquires the
// lease within two durations.
func TestLeaseIsHeldAgainAfterRestore(t *testing.T) {
	for _, holderAlive := range []bool{false, true} {
		c := qt.New(t)
		service := newRestorableTable()
		service.backUp()
		holder := &candidate{lease: lease.New(lease.Terms{Name: name, Holder: "a", Duration: duration}, poll), holder: "a"}
		other := &candidate{lease: lease.New(lease.Terms{Name: name, Holder: "b", Duration: duration}, poll), holder: "b"}
		elapsed := time.Duration(0)
		run := func(p *candidate) {
			p.lease.SetEpoch(service.epoch, p.now(elapsed))
			r := p.lease.Next(p.now(elapsed))
			if r.Kind == lease.Wait {
				return
			}
			rows, err := service.call(r)
			switch {
			case err != nil:
				p.lease.HandleFailure(r, err)
			case r.Kind == lease.Read:
				c.Assert(p.lease.HandleRead(rows, p.now(elapsed)), qt.IsNil)
			default:
				p.lease.HandleCommit(r, rows, p.now(elapsed))
			}
		}
		tick := func() {
			elapsed += duration / 40
			holder.clock, other.clock = elapsed, elapsed
			if !holder.frozen {
				run(holder)
			}
			run(other)
		}
		for range 100 {
			tick()
		}
		c.Assert(holder.lease.Grant().MaySend(holder.now(elapsed)), qt.IsTrue)
		before := holder.lease.Grant().Fence
		service.restore(service.backups[0])
		holder.frozen = !holderAlive
		restored := elapsed
		granted := func() *lease.Grant {
			if holderAlive {
				return holder.lease.Grant()
			}
			return other.lease.Grant()
		}
		for tick(); granted() == nil; tick() {
			c.Assert(elapsed-restored < 2*duration, qt.IsTrue)
		}
		c.Assert(granted().Fence > before, qt.IsTrue)
		if holderAlive {
			c.Assert(elapsed-restored <= duration/10, qt.IsTrue)
		}
	}
}

// TestHolderPollsLikeOthersAfterRestore has the holder's calls fail, and then restores the
// table. Hundreds of candidates poll rarely, so that the holder must not wait for its next
// poll: it holds the lease again at once if its grant is valid, or else after a duration.
func TestHolderPollsLikeOthersAfterRestore(t *testing.T) {
	for _, test := range []struct {
		name           string
		outage, within time.Duration
	}{
		{"grant is valid", duration / 4, duration / 4},
		{"grant has expired", 2 * duration, 3 * duration / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			service := newRestorableTable()
			p := &candidate{lease: lease.New(lease.Terms{Name: name, Holder: "a", Duration: duration}, 20*duration)}
			tick := func(answers bool) {
				p.clock += duration / 40
				p.lease.SetEpoch(service.epoch, p.now(p.clock))
				r := p.lease.Next(p.now(p.clock))
				switch {
				case r.Kind == lease.Wait:
					return
				case !answers:
					p.lease.HandleFailure(r, table.MakeUnavailable(errNoReply))
					return
				}
				rows, err := service.call(r)
				switch {
				case err != nil:
					p.lease.HandleFailure(r, err)
				case r.Kind == lease.Read:
					c.Assert(p.lease.HandleRead(rows, p.now(p.clock)), qt.IsNil)
				default:
					p.lease.HandleCommit(r, rows, p.now(p.clock))
				}
			}
			run := func(d time.Duration, answers bool) {
				for end := p.clock + d; p.clock < end; {
					tick(answers)
				}
			}
			run(duration, true)
			c.Assert(p.lease.Grant().MaySend(p.now(p.clock)), qt.IsTrue)
			service.backUp()
			run(duration, true)
			fence := p.lease.Grant().Fence
			run(test.outage, false)
			service.restore(service.backups[0])
			tick(false)
			run(test.within, true)
			c.Assert(p.lease.Grant().MaySend(p.now(p.clock)), qt.IsTrue)
			c.Assert(p.lease.Grant().Fence > fence, qt.IsTrue)
		})
	}
}
