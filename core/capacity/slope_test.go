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

// measurement describes how to measure the growth of a quantity with the number of
// some objects.
type measurement struct {
	// name is the name of the quantity.
	name string
	// unit is the unit of the quantity.
	unit string
	// per names the objects, in the singular.
	per string
	// sizes are at least three numbers of objects, in ascending order.
	sizes []int
	// measure returns the quantity for a number of objects.
	measure func(size int) int
	// maxSlope bounds the growth per object between the smallest and the largest
	// size. It follows from the budget of a daemon.
	maxSlope float64
	// exact says whether every run returns the same values.
	exact bool
}

// slope returns the growth per object between the smallest and the largest size.
func slope(sizes, values []int) float64 {
	last := len(sizes) - 1
	return float64(values[last]-values[0]) / float64(sizes[last]-sizes[0])
}

// update makes TestSlopes write the golden file.
var update = flag.Bool("update-slopes", false, "write testdata/slopes.golden")

// TestSlopes measures all slopes, logs them and checks that they do not exceed
// their bounds. It also compares the exact measurements with the golden file.
func TestSlopes(t *testing.T) {
	c := qt.New(t)
	var exact, approximate strings.Builder
	for _, m := range measurements() {
		values := make([]int, len(m.sizes))
		for i, size := range m.sizes {
			values[i] = m.measure(size)
		}
		got := slope(m.sizes, values)
		c.Check(got <= m.maxSlope, qt.IsTrue, qt.Commentf("%s: %.2f %s for each of %s, bound %.2f", m.name, got, m.unit, m.per, m.maxSlope))
		out := &approximate
		if m.exact {
			out = &exact
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%.2f\n", m.name, m.unit, m.per, joinValues(m.sizes), joinValues(values), got)
	}
	t.Log("\n" + alignTable(exact.String()+approximate.String()))
	const golden = "testdata/slopes.golden"
	text := alignTable(exact.String())
	if *update {
		c.Assert(os.WriteFile(golden, []byte(text), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, string(want))
}

func joinValues(values []int) string {
	return strings.ReplaceAll(strings.Trim(fmt.Sprint(values), "[]"), " ", " / ")
}

func alignTable(rows string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "quantity\tunit\tfor each\tsizes\tvalues\tslope")
	fmt.Fprint(w, rows)
	_ = w.Flush()
	return b.String()
}

// heapBytes returns the bytes of heap memory that the result of build uses.
func heapBytes(build func() any) int {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return max(0, int(after)-int(before))
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
