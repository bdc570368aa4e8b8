package capacity_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"text/tabwriter"

	qt "github.com/frankban/quicktest"
)

// measurement is how one quantity grows with one number.
type measurement struct {
	// name says what is measured.
	name string
	// unit is the unit of the quantity.
	unit string
	// per is what the quantity grows with.
	per string
	// sizes are at least three values of per, in rising order.
	sizes []int
	// measure returns the quantity at a size.
	measure func(size int) int
	// maxSlope bounds the growth for each step of per between the smallest and
	// the greatest size. It follows from the budget of a daemon.
	maxSlope float64
	// exact says whether every run gets the same figures.
	exact bool
}

// slope returns the growth for each step of per between the smallest and the
// greatest size.
func slope(sizes, values []int) float64 {
	last := len(sizes) - 1
	return float64(values[last]-values[0]) / float64(sizes[last]-sizes[0])
}

// update writes the exact part of the table anew.
var update = flag.Bool("update-slopes", false, "write testdata/slopes.golden anew")

// TestSlopes measures all slopes, prints them and holds them to their bounds.
// The exact ones are compared with the golden file, too.
func TestSlopes(t *testing.T) {
	c := qt.New(t)
	var exact, rough strings.Builder
	for _, m := range measurements() {
		values := make([]int, len(m.sizes))
		for i, size := range m.sizes {
			values[i] = m.measure(size)
		}
		got := slope(m.sizes, values)
		c.Check(got <= m.maxSlope, qt.IsTrue, qt.Commentf("%s: %.2f %s for each of %s, bound %.2f", m.name, got, m.unit, m.per, m.maxSlope))
		out := &rough
		if m.exact {
			out = &exact
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%.2f\n", m.name, m.unit, m.per, join(m.sizes), join(values), got)
	}
	t.Log("\n" + align(exact.String()+rough.String()))
	const golden = "testdata/slopes.golden"
	text := align(exact.String())
	if *update {
		c.Assert(os.WriteFile(golden, []byte(text), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, string(want))
}

func join(values []int) string {
	return strings.ReplaceAll(strings.Trim(fmt.Sprint(values), "[]"), " ", " / ")
}

func align(rows string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "quantity\tunit\tfor each\tsizes\tvalues\tslope")
	fmt.Fprint(w, rows)
	_ = w.Flush()
	return b.String()
}

// heap returns the memory in bytes that stays in use for what build returns.
func heap(build func() any) int {
	before := inUse()
	kept := build()
	after := inUse()
	runtime.KeepAlive(kept)
	return max(0, int(after)-int(before))
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
