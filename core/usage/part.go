package usage

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Prefixes and keys of the rows of this package.
const (
	partPrefix   = "usage/part/"
	closedPrefix = "usage/closed/"
	windowPrefix = "usage/window/"
	// ProgressKey is the key of the row that holds a Progress.
	ProgressKey = "usage/reported"
)

// Part is what ran on one VM in a part of a usage window.
type Part struct {
	// Window is the start of the window.
	Window time.Time `json:"window"`
	// Lines are the figures, one for each key, sorted by Sum.
	Lines []Line `json:"lines"`
	// Final says that the VM writes no more parts of the window.
	Final bool `json:"final,omitempty"`
}

// PartName names a part within its window.
type PartName struct {
	// VM is the name of the VM that wrote the part.
	VM string `json:"vm"`
	// ID is unique among the parts of the VM, also after a restart.
	ID string `json:"id"`
}

// PartKey returns the key of the row of a part.
func PartKey(window time.Time, name PartName) string {
	return partPrefix + FormatStart(window) + "/" + name.VM + "/" + name.ID
}

// ClosedKey returns the key of the row that closes a window.
func ClosedKey(window time.Time) string { return closedPrefix + FormatStart(window) }

// WindowKey returns the key of the row of a fixed window.
func WindowKey(window time.Time) string { return windowPrefix + FormatStart(window) }

// FormatStart returns the start of a window as it stands in keys and reports.
func FormatStart(start time.Time) string { return start.UTC().Format(time.RFC3339) }

// parsePartKey returns what PartKey was made from. It returns ErrRow for any
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

// partID returns the identifier of the part with a sequence number that a
// process wrote.
func partID(instance string, sequence uint64) string {
	return fmt.Sprintf("%s-%08d", instance, sequence)
}

// decode reads the content of a row. It returns ErrRow if it is malformed.
func decode[T any](value []byte) (T, error) {
	var content T
	if err := json.Unmarshal(value, &content); err != nil {
		return content, merry.Wrap(ErrMalformedRow, merry.WithCause(err))
	}
	return content, nil
}

// encode returns the content of a row. The types of this package can always be
// encoded.
func encode(content any) []byte {
	value, err := json.Marshal(content)
	if err != nil {
		panic(merry.Prepend(err, "usage: encode"))
	}
	return value
}
