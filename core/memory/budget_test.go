package memory_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"acaciapath.example/core/memory"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestCrowdLeavesMemory has one holder take all that it gets, and then others: each must get some.
func TestCrowdLeavesMemory(t *testing.T) {
	c := qt.New(t)
	b := memory.NewBudget(9000)
	take := func(holder string) (taken int) {
		for b.Reserve(holder, 10) {
			taken += 10
		}
		return taken
	}
	c.Check(take("crowd"), qt.Equals, 6000)
	c.Check(take("ordinary"), qt.Equals, 2000)
	c.Check(take("third") > 0, qt.IsTrue)
	b.Release("crowd", 6000)
	c.Check(take("ordinary") > 2000, qt.IsTrue)
}

// TestBudgetReturnsToZero takes and gives back at random. No holder may have more than two thirds,
// and in the end nothing may be taken.
func TestBudgetReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1000
		b := memory.NewBudget(total)
		held := make(map[string]int64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			holder := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
			n := rapid.Int64Range(1, 400).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "release") {
				n = min(n, held[holder])
				b.Release(holder, n)
				held[holder] -= n
			} else if b.Reserve(holder, n) {
				held[holder] += n
			}
			if sum := held["a"] + held["b"] + held["c"]; b.Used() != sum || held[holder]*3 > total*2 {
				t.Fatalf("%v held, %d used", held, b.Used())
			}
		}
		for holder, n := range held {
			b.Release(holder, n)
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes not given back", b.Used())
		}
	})
}

// TestWaiting checks that a reservation that waits is granted once there is memory, and that one
// that gives up takes none.
func TestWaiting(t *testing.T) {
	c := qt.New(t)
	b := memory.NewBudget(90)
	c.Assert(b.Reserve("a", 60), qt.IsTrue)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	c.Check(b.Wait(ended, "a", 60), qt.IsFalse)
	granted := make(chan bool)
	go func() { granted <- b.Wait(context.Background(), "a", 60) }()
	select {
	case <-granted:
		c.Fatal("granted while the memory was taken")
	case <-time.After(20 * time.Millisecond):
	}
	b.Release("a", 60)
	c.Check(<-granted, qt.IsTrue)
	b.Release("a", 60)
	c.Check(b.Used(), qt.Equals, int64(0))
}

// TestBody reads bodies of several lengths, announced or not, and checks that they take no more than
// twice their length and a segment.
func TestBody(t *testing.T) {
	c := qt.New(t)
	b := memory.NewBudget(64 << 20)
	for _, length := range []int{0, 1, 4096, 4097, 100_000, 1 << 20} {
		for _, announced := range []bool{false, true} {
			want := strings.Repeat("x", length)
			expected := int64(-1)
			if announced {
				expected = int64(length)
			}
			body := &memory.Body{Budget: b, Holder: "a"}
			c.Assert(body.ReadFrom(context.Background(), iotest.HalfReader(strings.NewReader(want)), expected), qt.IsNil)
			c.Check(b.Used() <= int64(2*length+4096), qt.IsTrue)
			if announced && length > 0 {
				c.Check(b.Used() <= int64(length+4096), qt.IsTrue)
			}
			read, err := io.ReadAll(body.Reader())
			c.Assert(err, qt.IsNil)
			c.Check(string(read) == want && string(body.Bytes()) == want && body.Len() == length, qt.IsTrue)
			body.Release()
			c.Check(b.Used(), qt.Equals, int64(0))
		}
	}
	body := &memory.Body{Budget: memory.NewBudget(9000), Holder: "a", MaxWait: time.Millisecond}
	c.Check(body.ReadFrom(context.Background(), bytes.NewReader(make([]byte, 9000)), 1<<40), qt.ErrorIs, memory.ErrFull)
}
