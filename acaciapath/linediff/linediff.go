// Package linediff compares texts line by line.
package linediff

import (
	"fmt"
	"slices"
	"strings"
)

// Limits of a comparison.
const (
	// contextLines is the number of equal lines around each change.
	contextLines = 3
	// maxEdits bounds the search for the smallest difference. Texts that differ
	// more are shown as replaced as a whole.
	maxEdits = 2000
)

// Operation is what happens to a line.
type Operation byte

// The operations, written as in the unified format.
const (
	Equal  Operation = ' '
	Delete Operation = '-'
	Insert Operation = '+'
)

// Edit is one line of a difference.
type Edit struct {
	// Operation is what happens to the line.
	Operation Operation
	// Line is the text of the line without its end.
	Line string
}

// Unified returns the difference of two texts in the unified format, or an
// empty string if they are the same.
func Unified(oldName, newName, oldText, newText string) string {
	if oldText == newText {
		return ""
	}
	edits := Compare(lines(oldText), lines(newText))
	var b strings.Builder
	fmt.Fprintf(&b, "--- %s\n+++ %s\n", oldName, newName)
	writeHunks(&b, edits)
	return b.String()
}

// Compare returns the edits that turn the old lines into the new ones.
func Compare(before, after []string) []Edit {
	prefix := commonPrefix(before, after)
	edits := appendEdits(nil, Equal, before[:prefix])
	before, after = before[prefix:], after[prefix:]
	suffix := commonSuffix(before, after)
	tail := before[len(before)-suffix:]
	edits = append(edits, compareMiddle(before[:len(before)-suffix], after[:len(after)-suffix])...)
	return appendEdits(edits, Equal, tail)
}

// compareMiddle searches for the smallest difference by Myers's greedy
// algorithm.
func compareMiddle(before, after []string) []Edit {
	limit := min(len(before)+len(after), maxEdits)
	furthest := make([]int, 2*limit+3)
	var trace [][]int
	for d := 0; d <= limit; d++ {
		trace = append(trace, slices.Clone(furthest))
		for k := -d; k <= d; k += 2 {
			x := step(furthest, limit, k, d)
			for x < len(before) && x-k < len(after) && before[x] == after[x-k] {
				x++
			}
			furthest[limit+1+k] = x
			if x >= len(before) && x-k >= len(after) {
				return backtrack(trace, limit, before, after)
			}
		}
	}
	return appendEdits(appendEdits(nil, Delete, before), Insert, after)
}

// step returns where the path on diagonal k starts after its d-th edit.
func step(furthest []int, limit, k, d int) int {
	if isInsert(furthest, limit, k, d) {
		return furthest[limit+2+k]
	}
	return furthest[limit+k] + 1
}

// backtrack reads the edits from the states of the search, last edit first.
func backtrack(trace [][]int, limit int, before, after []string) []Edit {
	var edits []Edit
	x, y := len(before), len(after)
	for d := len(trace) - 1; d >= 0; d-- {
		furthest, k := trace[d], x-y
		startX := step(furthest, limit, k, d)
		if d == 0 {
			startX = 0
		}
		for x > startX {
			x, y = x-1, y-1
			edits = append(edits, Edit{Equal, before[x]})
		}
		if d == 0 {
			break
		}
		if isInsert(furthest, limit, k, d) {
			y--
			edits = append(edits, Edit{Insert, after[y]})
		} else {
			x--
			edits = append(edits, Edit{Delete, before[x]})
		}
	}
	slices.Reverse(edits)
	return edits
}

// isInsert reports whether the d-th edit of the path on diagonal k inserts.
func isInsert(furthest []int, limit, k, d int) bool {
	return k == -d || (k != d && furthest[limit+k] < furthest[limit+2+k])
}

// hunk is the edits from start to before end.
type hunk struct {
	start, end int
}

// writeHunks writes the edits, leaving out equal lines far from any change.
func writeHunks(b *strings.Builder, edits []Edit) {
	oldLine, newLine, at := 1, 1, 0
	for _, h := range hunks(edits) {
		oldSkip, newSkip := count(edits[at:h.start])
		oldLine, newLine, at = oldLine+oldSkip, newLine+newSkip, h.start
		oldCount, newCount := count(edits[h.start:h.end])
		fmt.Fprintf(b, "@@ -%s +%s @@\n", lineRange(oldLine, oldCount), lineRange(newLine, newCount))
		for _, e := range edits[h.start:h.end] {
			fmt.Fprintf(b, "%c%s\n", e.Operation, e.Line)
		}
	}
}

// hunks groups the changes that are near each other.
func hunks(edits []Edit) []hunk {
	var found []hunk
	for i, e := range edits {
		if e.Operation == Equal {
			continue
		}
		start, end := max(i-contextLines, 0), min(i+contextLines+1, len(edits))
		if last := len(found) - 1; last >= 0 && start <= found[last].end {
			found[last].end = end
			continue
		}
		found = append(found, hunk{start: start, end: end})
	}
	return found
}

// count returns how many lines of the old and the new text the edits cover.
func count(edits []Edit) (before, after int) {
	for _, e := range edits {
		if e.Operation != Insert {
			before++
		}
		if e.Operation != Delete {
			after++
		}
	}
	return before, after
}

// lineRange returns a range as the unified format has it: an empty range names
// the line before it.
func lineRange(first, count int) string {
	if count == 0 {
		first--
	}
	return fmt.Sprintf("%d,%d", first, count)
}

func appendEdits(edits []Edit, operation Operation, lines []string) []Edit {
	for _, line := range lines {
		edits = append(edits, Edit{operation, line})
	}
	return edits
}

func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}
