package fault_test

import (
	"context"
	"testing"
	"time"

	"acaciapath.example/standin/fault"

	qt "github.com/frankban/quicktest"
)

func TestEnter(t *testing.T) {
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
		{name: "another caller is cut off", faults: fault.Faults{Partitions: []fault.Partition{{Caller: "b"}}}, call: read},
		{name: "only replies are cut off", faults: fault.Faults{Partitions: []fault.Partition{{Caller: "a", Direction: fault.Replies}}}, call: read},
	} {
		c.Run(test.name, func(c *qt.C) {
			i := fault.NewInjector()
			i.Set(test.faults)
			c.Assert(i.BeforeCall(context.Background(), test.call), qt.ErrorIs, test.first)
			c.Assert(i.BeforeCall(context.Background(), test.call), qt.ErrorIs, test.second)
		})
	}
}

func TestSlow(t *testing.T) {
	c := qt.New(t)
	i := fault.NewInjector()
	const delay = 20 * time.Millisecond
	i.Set(fault.Faults{Delay: fault.Duration(delay)})
	began := time.Now()
	c.Assert(i.BeforeCall(context.Background(), fault.Call{}), qt.IsNil)
	c.Assert(time.Since(began) >= delay, qt.IsTrue)
}

func TestHeldCalls(t *testing.T) {
	c := qt.New(t)
	cut := fault.Faults{Partitions: []fault.Partition{{Caller: "a"}}}
	enter, leave := (*fault.Injector).BeforeCall, (*fault.Injector).BeforeReply
	for _, test := range []struct {
		name    string
		faults  fault.Faults
		held    func(*fault.Injector, context.Context, fault.Call) error
		release func(*fault.Injector)
		want    error
	}{
		{name: "unfrozen", faults: fault.Faults{Frozen: true}, held: enter, release: lift},
		{name: "closed while frozen", faults: fault.Faults{Frozen: true}, held: enter, release: (*fault.Injector).Close, want: fault.ErrClosed},
		{name: "cut lifted", faults: cut, held: enter, release: lift, want: fault.ErrPartitioned},
		{name: "closed while cut", faults: cut, held: enter, release: (*fault.Injector).Close, want: fault.ErrPartitioned},
		{name: "cut of replies lifted", faults: cut, held: leave, release: lift, want: fault.ErrPartitioned},
		{name: "closed while slow", faults: fault.Faults{Delay: fault.Duration(time.Hour)}, held: enter, release: (*fault.Injector).Close, want: fault.ErrClosed},
	} {
		c.Run(test.name, func(c *qt.C) {
			i := fault.NewInjector()
			i.Set(test.faults)
			entered := make(chan error, 1)
			go func() { entered <- test.held(i, context.Background(), fault.Call{Caller: "a"}) }()
			select {
			case err := <-entered:
				c.Fatalf("the call was not held: %v", err)
			case <-time.After(20 * time.Millisecond):
			}
			test.release(i)
			c.Assert(<-entered, qt.ErrorIs, test.want)
		})
	}
}

// lift takes all faults away.
func lift(i *fault.Injector) { i.Set(fault.Faults{}) }
