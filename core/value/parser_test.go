package value_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"acaciapath.example/core/value"
)

// parseToText returns a function that parses a string and formats the value or
// the error for comparison.
func parseToText[V any](p value.Parser[V]) func(string) string {
	return func(s string) string {
		v, err := p.Parse(s)
		if err != nil {
			return "error: " + err.Error()
		}
		return fmt.Sprint(v)
	}
}

func TestParsers(t *testing.T) {
	c := qt.New(t)
	duration := parseToText(value.Duration(time.Millisecond, time.Hour))
	size := parseToText(value.Size(1, 1<<30))
	percent := parseToText(value.Percent(0, 100))
	address := parseToText(value.AddrPort())
	list := parseToText(value.List(value.ModelName()))
	for _, test := range []struct {
		parse       func(string) string
		value, want string
	}{
		{duration, "1.1s", "1.1s"},
		{duration, "1h", "1h0m0s"},
		{duration, "0", `error: "0" has no unit; write a duration such as 1.1s`},
		{duration, "2h", `error: "2h" is out of the range 1ms to 1h`},
		{duration, "-1s", `error: "-1s" is out of the range 1ms to 1h`},
		{size, "1GiB", "1073741824"},
		{size, "12 KiB", "12288"},
		{size, "7B", "7"},
		{size, "2GiB", `error: "2GiB" is out of the range 1B to 1GiB`},
		{size, "1.5MiB", `error: "1.5MiB" is not a size such as 1MiB`},
		{size, "9223372036854775807GiB", `error: "9223372036854775807GiB" is not a size such as 1MiB`},
		{percent, "10%", "10"},
		{percent, "101%", `error: "101%" is out of the range 0% to 100%`},
		{percent, "x%", `error: "x%" is not a whole percentage such as 10%`},
		{address, "10.0.1.4:8000", "10.0.1.4:8000"},
		{address, "[::1]:8000", "[::1]:8000"},
		{address, "localhost:8000", `error: "localhost:8000" is not an IP address and a port such as 10.0.1.4:8000`},
		{address, "10.0.1.4:0", `error: "10.0.1.4:0" cannot be connected to: the address is unspecified or the port is 0`},
		{address, "0.0.0.0:80", `error: "0.0.0.0:80" cannot be connected to: the address is unspecified or the port is 0`},
		{list, "a, org/b:7", "[a org/b:7]"},
		{list, "a,", "error: the name is empty"},
		{list, "a,a", `error: "a" occurs more than once in the list`},
		{parseToText(value.Name()), strings.Repeat("n", 101), `error: "` + strings.Repeat("n", 60) + `"... is longer than 100 bytes`},
		{parseToText(value.Name()), "-x", `error: "-x" is not a name; a name starts with a letter or digit and contains only letters, digits and any of ._-`},
		{parseToText(value.Int(1, 9)), "acacia_c2VjcmV0", "error: a value that looks like a key is not an integer"},
		{parseToText(value.IP()), "fe80::1%eth0", `error: "fe80::1%eth0" is not an IP address`},
	} {
		c.Run(test.value, func(c *qt.C) {
			c.Assert(test.parse(test.value), qt.Equals, test.want)
		})
	}
}
