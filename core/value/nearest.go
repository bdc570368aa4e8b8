package value

// Nearest returns the known name with the smallest edit distance to name, and
// whether there is one that is close enough to be what was meant: its distance
// must be at most a third of the length of name, rounded up, or 1 if name is
// empty. Of several nearest names it returns the first in alphabetical order.
func Nearest[V any](name string, known map[string]V) (string, bool) {
	best, bestDistance := "", max(1, (len(name)+2)/3)+1
	for candidate := range known {
		if abs(len(candidate)-len(name)) > bestDistance {
			continue
		}
		d := distance(name, candidate)
		if d < bestDistance || d == bestDistance && best != "" && candidate < best {
			best, bestDistance = candidate, d
		}
	}
	return best, best != ""
}

// distance returns the Levenshtein distance of two strings, counted in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

func abs(n int) int { return max(n, -n) }

// Suggest returns a suffix for an error message that suggests the nearest known
// name, or an empty string if none is close enough.
func Suggest(name string, known map[string]struct{}) string {
	if nearest, ok := Nearest(name, known); ok {
		return "; did you mean " + nearest + "?"
	}
	return ""
}
