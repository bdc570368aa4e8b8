package fault_test

import (
	"context"
	"testing"
	"time"

	"acaciapath.example/standin/fault"

	qt "github.com/frankban/quicktest"
)

func TestBeforeCall(t *testing.T) {
	c := qt.New(t)
	write := fault.Call{Caller: "a", Write: true}
	read := fault.Call{Caller: "a"}
	for _, test := range []struct {
		name   string
		faults fault.Faults
		call   fault.Call
		first  error
		second error
	}{
		{name: "none", call: write},
		{name: "down", faults: fault.Faults{Down: true}, call: read, first: fault.ErrDown, second: fault.ErrDown},
		{name: "crashed", faults: fault.Faults{Crashed: true}, call: read, first: fault.ErrCrashed, second: fault.ErrCrashed},
		{name: "lost write", faults: fault.Faults{LoseRequests: 1}, call: write, first: fault.ErrRequestLost},
		{name: "reads are not lost", faults: fault.Faults{LoseRequests: 1}, call: read},
		{name: "another caller is partitioned", faults: fault.Faults{Partitions: []fault.Partition{{Caller: "b"}}}, call: read},
		{name: "only replies are dropped", faults: fault.Faults{Partitions: []fault.Partition{{Caller: "a", Direction: fault.Replies}}}, call: read},
	} {
		c.Run(test.name, func(c *qt.C) {
			i := fault.NewInjector()
			i.Set(test.faults)
			c.Assert(i.BeforeCall(context.Background(), test.call), qt.ErrorIs, test.first)
			c.Assert(i.BeforeCall(context.Background(), test.call), qt.ErrorIs, test.second)
		})
	}
}

func TestDelay(t *testing.T) {
	c := qt.New(t)
	i := fault.NewInjector()
	const delay = 20 * time.Millisecond
	i.Set(fault.Faults{Delay: fault.Duration(delay)})
	began := time.Now()
	c.Assert(i.BeforeCall(context.Background(), fault.Call{}), qt.IsNil)
	c.Assert(time.Since(began) >= delay, qt.IsTrue)
}

func TestBlockedCalls(t *testing.T) {
	c := qt.New(t)
	partitioned := fault.Faults{Partitions: []fault.Partition{{Caller: "a"}}}
	beforeCall, beforeReply := (*fault.Injector).BeforeCall, (*fault.Injector).BeforeReply
	for _, test := range []struct {
		name    string
		faults  fault.Faults
		blocked func(*fault.Injector, context.Context, fault.Call) error
		release func(*fault.Injector)
		want    error
	}{
		{name: "unfrozen", faults: fault.Faults{Frozen: true}, blocked: beforeCall, release: clearFaults},
		{name: "closed while frozen", faults: fault.Faults{Frozen: true}, blocked: beforeCall, release: (*fault.Injector).Close, want: fault.ErrClosed},
		{name: "partition removed", faults: partitioned, blocked: beforeCall, release: clearFaults, want: fault.ErrPartitioned},
		{name: "closed while partitioned", faults: partitioned, blocked: beforeCall, release: (*fault.Injector).Close, want: fault.ErrPartitioned},
		{name: "partition of replies removed", faults: partitioned, blocked: beforeReply, release: clearFaults, want: fault.ErrPartitioned},
		{name: "closed while delayed", faults: fault.Faults{Delay: fault.Duration(time.Hour)}, blocked: beforeCall, release: (*fault.Injector).Close, want: fault.ErrClosed},
	} {
		c.Run(test.name, func(c *qt.C) {
			i := fault.NewInjector()
			i.Set(test.faults)
			result := make(chan error, 1)
			go func() { result <- test.blocked(i, context.Background(), fault.Call{Caller: "a"}) }()
			select {
			case err := <-result:
				c.Fatalf("the call was not blocked: %v", err)
			case <-time.After(20 * time.Millisecond):
			}
			test.release(i)
			c.Assert(<-result, qt.ErrorIs, test.want)
		})
	}
}

// clearFaults removes all faults.
func clearFaults(i *fault.Injector) { i.Set(fault.Faults{}) }
