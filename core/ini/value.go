package ini

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"acaciapath.example/core/apikey"
)

// Parser reads values of one type.
type Parser[V any] struct {
	// Type names the type and unit in the reference page.
	Type string
	// Range says which values are allowed, or is empty.
	Range string
	// Parse returns the value, or an error that tells a person what is wrong.
	Parse func(text string) (V, error)
}

const (
	// maxNameBytes is the greatest length of a name.
	maxNameBytes = 100
	// maxQuotedBytes is the greatest length of a value that is quoted whole.
	maxQuotedBytes = 60
)

// Quote returns a value for a message, shortened if it is long. What looks like
// a key is not shown.
func Quote(text string) string {
	if strings.Contains(text, apikey.Prefix) {
		return "a value that looks like a key"
	}
	if len(text) > maxQuotedBytes {
		return strconv.Quote(text[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(text)
}

// Int returns a parser of integers from least to greatest.
func Int(least, greatest int) Parser[int] {
	bounds := fmt.Sprintf("%d to %d", least, greatest)
	return Parser[int]{Type: "integer", Range: bounds, Parse: func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0, merry.Errorf("%s is not an integer", Quote(text))
		}
		return n, inRange(n, least, greatest, bounds, text)
	}}
}

// Percent returns a parser of whole percentages from least to greatest.
func Percent(least, greatest int) Parser[int] {
	bounds := fmt.Sprintf("%d%% to %d%%", least, greatest)
	return Parser[int]{Type: "percentage, such as `10%`", Range: bounds, Parse: func(text string) (int, error) {
		digits, unit := strings.CutSuffix(text, "%")
		n, err := strconv.Atoi(strings.TrimSpace(digits))
		if err != nil {
			return 0, merry.Errorf("%s is not a whole percentage such as 10%%", Quote(text))
		}
		if !unit {
			return 0, missingUnit(text, "a percentage such as 10%")
		}
		return n, inRange(n, least, greatest, bounds, text)
	}}
}

// Duration returns a parser of durations from least to greatest.
func Duration(least, greatest time.Duration) Parser[time.Duration] {
	bounds := shortDuration(least) + " to " + shortDuration(greatest)
	return Parser[time.Duration]{Type: "duration, such as `1.1s`", Range: bounds, Parse: func(text string) (time.Duration, error) {
		if _, err := strconv.ParseFloat(text, 64); err == nil {
			return 0, missingUnit(text, "a duration such as 1.1s")
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, merry.Errorf("%s is not a duration such as 1.1s", Quote(text))
		}
		return d, inRange(d, least, greatest, bounds, text)
	}}
}

// sizeUnits are the units of sizes, the longest first.
var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1},
}

// Size returns a parser of sizes in bytes from least to greatest.
func Size(least, greatest int64) Parser[int64] {
	bounds := shortSize(least) + " to " + shortSize(greatest)
	return Parser[int64]{Type: "size, such as `1MiB`", Range: bounds, Parse: func(text string) (int64, error) {
		if _, err := strconv.ParseInt(text, 10, 64); err == nil {
			return 0, missingUnit(text, "a size such as 1MiB")
		}
		for _, u := range sizeUnits {
			digits, ok := strings.CutSuffix(text, u.name)
			if !ok {
				continue
			}
			n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
			if err != nil {
				break
			}
			return n * u.bytes, inRange(n*u.bytes, least, greatest, bounds, text)
		}
		return 0, merry.Errorf("%s is not a size such as 1MiB", Quote(text))
	}}
}

// Bool returns a parser of true and false.
func Bool() Parser[bool] {
	return Parser[bool]{Type: "`true` or `false`", Parse: func(text string) (bool, error) {
		if text != "true" && text != "false" {
			return false, merry.Errorf("%s is neither true nor false", Quote(text))
		}
		return text == "true", nil
	}}
}

// OneOf returns a parser of the given words.
func OneOf[S ~string](words ...S) Parser[S] {
	quoted := make([]string, len(words))
	known := make(map[string]struct{}, len(words))
	for i, w := range words {
		quoted[i] = "`" + string(w) + "`"
		known[string(w)] = struct{}{}
	}
	return Parser[S]{Type: "one of " + strings.Join(quoted, ", "), Parse: func(text string) (S, error) {
		if slices.Contains(words, S(text)) {
			return S(text), nil
		}
		message := Quote(text) + " is not " + strings.ReplaceAll("one of "+strings.Join(quoted, ", "), "`", "")
		return "", merry.New(message + Suggest(text, known))
	}}
}

// Name returns a parser of the names of sections and of references to them.
func Name() Parser[string] { return nameWith("._-") }

// ModelName returns a parser of the names of models, which besides the
// characters of other names may hold slashes and colons.
func ModelName() Parser[string] { return nameWith("._-/:") }

// List returns a parser of one or more values, separated by commas.
func List[V comparable](element Parser[V]) Parser[[]V] {
	return Parser[[]V]{Type: "list of " + element.Type + ", separated by commas", Range: element.Range, Parse: func(text string) ([]V, error) {
		var values []V
		for _, part := range SplitList(text) {
			v, err := element.Parse(part)
			if err != nil {
				return nil, err
			}
			if slices.Contains(values, v) {
				return nil, merry.Errorf("%s stands twice in the list", Quote(part))
			}
			values = append(values, v)
		}
		return values, nil
	}}
}

// SplitList returns the elements of a list without their white space.
func SplitList(text string) []string {
	parts := strings.Split(text, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// IP returns a parser of IP numbers without a zone.
func IP() Parser[string] {
	return Parser[string]{Type: "IP number", Parse: func(text string) (string, error) {
		a, err := netip.ParseAddr(text)
		if err != nil || a.Zone() != "" {
			return "", merry.Errorf("%s is not an IP number", Quote(text))
		}
		return a.String(), nil
	}}
}

// Address returns a parser of an IP number and a port other than 0.
func Address() Parser[string] {
	return Parser[string]{Type: "IP number and port, such as `10.0.1.4:8000`", Parse: func(text string) (string, error) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Addr().Zone() != "" {
			return "", merry.Errorf("%s is not an IP number and a port such as 10.0.1.4:8000", Quote(text))
		}
		if a.Port() == 0 || a.Addr().IsUnspecified() {
			return "", merry.Errorf("%s names no single address to connect to", Quote(text))
		}
		return a.String(), nil
	}}
}

// Text returns a parser that takes every value but an empty one.
func Text(kind string) Parser[string] {
	return Parser[string]{Type: kind, Parse: func(text string) (string, error) {
		if text == "" {
			return "", merry.New("the value is empty")
		}
		return text, nil
	}}
}

// nameWith returns a parser of names of letters, digits and the given marks.
func nameWith(marks string) Parser[string] {
	return Parser[string]{Type: "name", Parse: func(text string) (string, error) {
		if text == "" {
			return "", merry.New("the name is empty")
		}
		if len(text) > maxNameBytes {
			return "", merry.Errorf("%s is longer than %d bytes", Quote(text), maxNameBytes)
		}
		for i, r := range text {
			if !alphanumeric(r) && (i == 0 || !strings.ContainsRune(marks, r)) {
				return "", merry.Errorf("%s is not a name: a letter or digit, then letters, digits and any of %s", Quote(text), marks)
			}
		}
		return text, nil
	}}
}

func alphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

func missingUnit(text, example string) error {
	return merry.Errorf("%s has no unit; write %s", Quote(text), example)
}

func inRange[N int | int64 | time.Duration](n, least, greatest N, bounds, text string) error {
	if n < least || n > greatest {
		return merry.Errorf("%s is out of the range %s", Quote(text), bounds)
	}
	return nil
}

func shortDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func shortSize(n int64) string {
	for _, u := range []int{2, 1, 0} {
		if unit := sizeUnits[u]; n >= unit.bytes && n%unit.bytes == 0 {
			return decimal(int(n/unit.bytes)) + unit.name
		}
	}
	return decimal(int(n)) + "B"
}

func decimal(n int) string { return strconv.Itoa(n) }
