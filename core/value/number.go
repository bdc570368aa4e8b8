package value

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Int returns a parser of integers from least to greatest, both included.
func Int(least, greatest int) Parser[int] {
	bounds := fmt.Sprintf("%d to %d", least, greatest)
	return Parser[int]{Type: "integer", Range: bounds, Parse: func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0, merry.Errorf("%s is not an integer", Quote(text))
		}
		return n, checkRange(n, least, greatest, bounds, text)
	}}
}

// Percent returns a parser of whole percentages from least to greatest, both
// included.
func Percent(least, greatest int) Parser[int] {
	bounds := fmt.Sprintf("%d%% to %d%%", least, greatest)
	return Parser[int]{Type: "percentage, such as `10%`", Range: bounds, Parse: func(text string) (int, error) {
		digits, hasUnit := strings.CutSuffix(text, "%")
		n, err := strconv.Atoi(strings.TrimSpace(digits))
		if err != nil {
			return 0, merry.Errorf("%s is not a whole percentage such as 10%%", Quote(text))
		}
		if !hasUnit {
			return 0, missingUnit(text, "a percentage such as 10%")
		}
		return n, checkRange(n, least, greatest, bounds, text)
	}}
}

// Duration returns a parser of durations from least to greatest, both included.
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
		return d, checkRange(d, least, greatest, bounds, text)
	}}
}

// sizeUnits are the units of sizes. B comes last, because the names of the
// other units end in B too.
var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1},
}

// Size returns a parser of sizes in bytes from least to greatest, both
// included.
func Size(least, greatest int64) Parser[int64] {
	bounds := FormatSize(least) + " to " + FormatSize(greatest)
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
			return n * u.bytes, checkRange(n*u.bytes, least, greatest, bounds, text)
		}
		return 0, merry.Errorf("%s is not a size such as 1MiB", Quote(text))
	}}
}

// missingUnit returns the error for a value without its unit.
func missingUnit(text, example string) error {
	return merry.Errorf("%s has no unit; write %s", Quote(text), example)
}

// checkRange returns an error unless n is from least to greatest.
func checkRange[N int | int64 | time.Duration](n, least, greatest N, bounds, text string) error {
	if n < least || n > greatest {
		return merry.Errorf("%s is out of the range %s", Quote(text), bounds)
	}
	return nil
}

// shortDuration formats a duration without trailing zero minutes and seconds.
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

// FormatSize formats a number of bytes in the largest unit in which it is a
// whole number, such as 12KiB.
func FormatSize(n int64) string {
	for _, u := range []int{2, 1, 0} {
		if unit := sizeUnits[u]; n >= unit.bytes && n%unit.bytes == 0 {
			return strconv.Itoa(int(n/unit.bytes)) + unit.name
		}
	}
	return strconv.Itoa(int(n)) + "B"
}
