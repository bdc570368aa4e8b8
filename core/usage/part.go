package usage

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Row keys of this package and their prefixes.
const (
	partPrefix   = "usage/part/"
	closedPrefix = "usage/closed/"
	windowPrefix = "usage/window/"
	splitPrefix  = "usage/split/"
	// ProgressKey is the key of the row that holds the Progress.
	ProgressKey = "usage/reported"
)

// Part is the usage metered on one VM during a part of a usage window.
type Part struct {
	// Window is the start of the window.
	Window time.Time `json:"window"`
	// Lines has one line for each key, sorted as by Sum.
	Lines []Line `json:"lines"`
	// Final states that the VM writes no further parts of the window.
	Final bool `json:"final,omitempty"`
}

// PartName identifies a part within its window.
type PartName struct {
	// VM is the name of the VM that wrote the part.
	VM string `json:"vm"`
	// ID is unique among all parts of the VM, including those written before a
	// restart.
	ID string `json:"id"`
}

// PartKey returns the key of the row of a part.
func PartKey(window time.Time, name PartName) string {
	return partPrefix + FormatWindowStart(window) + "/" + name.VM + "/" + name.ID
}

// ClosedKey returns the key of the row that closes a window.
func ClosedKey(window time.Time) string { return closedPrefix + FormatWindowStart(window) }

// WindowKey returns the key of the row with the fixed totals of a window.
func WindowKey(window time.Time) string { return windowPrefix + FormatWindowStart(window) }

// FormatWindowStart formats the start of a window as used in row keys and reports.
func FormatWindowStart(start time.Time) string { return start.UTC().Format(time.RFC3339) }

// parsePartKey parses a key made by PartKey. It returns ErrMalformedRow for any
// other key.
func parsePartKey(key string) (time.Time, PartName, error) {
	fields := strings.Split(strings.TrimPrefix(key, partPrefix), "/")
	if !strings.HasPrefix(key, partPrefix) || len(fields) != 3 {
		return time.Time{}, PartName{}, merry.Wrap(ErrMalformedRow, merry.WithValue("key", key))
	}
	start, err := time.Parse(time.RFC3339, fields[0])
	if err != nil {
		return time.Time{}, PartName{}, merry.Wrap(ErrMalformedRow, merry.WithCause(err))
	}
	return start, PartName{VM: fields[1], ID: fields[2]}, nil
}

// partID returns the identifier of the part that a process instance wrote with a
// sequence number.
func partID(instance string, sequence uint64) string {
	return fmt.Sprintf("%s-%08d", instance, sequence)
}

// decode decodes the value of a row. It returns ErrMalformedRow on failure.
func decode[T any](value []byte) (T, error) {
	var content T
	if err := json.Unmarshal(value, &content); err != nil {
		return content, merry.Wrap(ErrMalformedRow, merry.WithCause(err))
	}
	return content, nil
}

// encode returns the value of a row. The row types of this package can always be
// encoded.
func encode(content any) []byte {
	value, err := json.Marshal(content)
	if err != nil {
		panic(merry.Prepend(err, "usage: cannot encode row"))
	}
	return value
}
