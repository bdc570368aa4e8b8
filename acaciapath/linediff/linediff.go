package linediff

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// contextLines is the number of unchanged lines that are shown before and after each
	// change.
	contextLines = 3
	// maxEdits is the maximum number of edits in the search for the smallest difference.
	// If texts differ by more, all differing lines are shown as deleted and inserted.
	maxEdits = 2000
)

// Operation is what an Edit does to a line.
type Operation byte

// Operations. Their values are the line prefixes of the unified diff format.
const (
	Equal  Operation = ' '
	Delete Operation = '-'
	Insert Operation = '+'
)

// Edit is a line that is kept, deleted or inserted.
type Edit struct {
	// Operation tells what happens to the line.
	Operation Operation
	// Line is the text of the line without the newline.
	Line string
}

// Unified returns the difference between two texts in the unified diff format, or an
// empty string if they are equal. The names are written to the header.
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

// Compare returns the edits that turn the lines before into the lines after.
func Compare(before, after []string) []Edit {
	prefix := commonPrefix(before, after)
	edits := appendEdits(nil, Equal, before[:prefix])
	before, after = before[prefix:], after[prefix:]
	suffix := commonSuffix(before, after)
	tail := before[len(before)-suffix:]
	edits = append(edits, compareMiddle(before[:len(before)-suffix], after[:len(after)-suffix])...)
	return appendEdits(edits, Equal, tail)
}

// compareMiddle finds the smallest difference by the greedy algorithm of Myers ("An
// O(ND) Difference Algorithm and Its Variations"). furthest holds, for each diagonal
// k = x-y, the largest x that a path with d edits has reached, at index limit+1+k.
func compareMiddle(before, after []string) []Edit {
	limit := min(len(before)+len(after), maxEdits)
	furthest := make([]int, 2*limit+3)
	var trace [][]int
	for d := 0; d <= limit; d++ {
		trace = append(trace, slices.Clone(furthest))
		for k := -d; k <= d; k += 2 {
			x := xAfterEdit(furthest, limit, k, d)
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

// xAfterEdit returns the x after the d-th edit of the path on diagonal k.
func xAfterEdit(furthest []int, limit, k, d int) int {
	if isInsert(furthest, limit, k, d) {
		return furthest[limit+2+k]
	}
	return furthest[limit+k] + 1
}

// backtrack returns the edits of the path that reached the end. trace[d] is the value of
// furthest before the d-th edit. The path is followed from its end to its start.
func backtrack(trace [][]int, limit int, before, after []string) []Edit {
	var edits []Edit
	x, y := len(before), len(after)
	for d := len(trace) - 1; d >= 0; d-- {
		furthest, k := trace[d], x-y
		startX := xAfterEdit(furthest, limit, k, d)
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

// isInsert reports whether the d-th edit of the path on diagonal k is an insertion, else
// it is a deletion.
func isInsert(furthest []int, limit, k, d int) bool {
	return k == -d || (k != d && furthest[limit+k] < furthest[limit+2+k])
}

// hunk is the range of edits from start up to but not including end.
type hunk struct {
	start, end int
}

// writeHunks writes the hunks of the edits, which leave out unchanged lines that are far
// from any change.
func writeHunks(b *strings.Builder, edits []Edit) {
	oldLine, newLine, position := 1, 1, 0
	for _, h := range hunks(edits) {
		oldSkip, newSkip := count(edits[position:h.start])
		oldLine, newLine, position = oldLine+oldSkip, newLine+newSkip, h.start
		oldCount, newCount := count(edits[h.start:h.end])
		fmt.Fprintf(b, "@@ -%s +%s @@\n", lineRange(oldLine, oldCount), lineRange(newLine, newCount))
		for _, e := range edits[h.start:h.end] {
			fmt.Fprintf(b, "%c%s\n", e.Operation, e.Line)
		}
	}
}

// hunks returns the ranges of edits to show: each change with its context lines, merged
// where they touch or overlap.
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

// count returns the number of lines of the old and of the new text that the edits cover.
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

// lineRange returns a range of lines in the unified diff format. An empty range is
// written with the number of the line before it.
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
