package value

// Nearest returns the known name with the least edit distance to name, and
// whether one is near enough to be what was meant. Among equals the first in
// the alphabet wins.
func Nearest[V any](name string, known map[string]V) (string, bool) {
	best, least := "", max(1, (len(name)+2)/3)+1
	for candidate := range known {
		if abs(len(candidate)-len(name)) > least {
			continue
		}
		d := distance(name, candidate)
		if d < least || d == least && best != "" && candidate < best {
			best, least = candidate, d
		}
	}
	return best, best != ""
}

// distance returns the Levenshtein distance of two strings in bytes.
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

// Suggest returns the end of a message that offers the nearest known name, or
// an empty string if none is near.
func Suggest(name string, known map[string]struct{}) string {
	if near, ok := Nearest(name, known); ok {
		return "; did you mean " + near + "?"
	}
	return ""
}
