package lease

import (
	"encoding/json"
	"time"

	"acaciapath.example/core/gen/table"

	"github.com/ansel1/merry/v2"
)

// Prefixes of the rows of this package.
const (
	// RowPrefix starts the keys of lease rows.
	RowPrefix   = "lease/"
	fencePrefix = "fence/"
)

// UsageName is the name of the lease of usage reports.
const UsageName = "usage"

// Errors of this package.
var (
	// ErrNotHeld is returned by Keeper.Do if the process may not send.
	ErrNotHeld = merry.Sentinel("lease: not held")
	// ErrMalformedRow is returned for a row whose content cannot be read.
	ErrMalformedRow = merry.Sentinel("lease: row is malformed")
	// ErrTornRead is returned if the lease changed hands between the reads of its
	// two rows.
	ErrTornRead = merry.Sentinel("lease: rows do not belong together")
)

// OrdersName returns the name of the lease of backend server orders in a
// failure domain.
func OrdersName(failureDomain string) string { return "orders/" + failureDomain }

// RowKey returns the key of the lease row.
func RowKey(name string) string { return RowPrefix + name }

// FenceKey returns the key of the fence row.
func FenceKey(name string) string { return fencePrefix + name }

// Row is the content of a lease row.
type Row struct {
	// Holder is the process that holds the lease, empty if it was released.
	Holder string `json:"holder"`
	// Fence is the fencing number. It rises each time the lease is acquired.
	Fence uint64 `json:"fence"`
	// DurationMS is how long the lease lasts from this write on.
	DurationMS int64 `json:"milliseconds"`
	// Attempt numbers the writes of the holder, so that it knows which of
	// them took effect.
	Attempt uint64 `json:"attempt"`
	// Candidates is the number of processes that read the row, as far as the
	// holder knows, or 0.
	Candidates int `json:"candidates,omitempty"`
}

// Duration returns how long the lease lasts from this write on.
func (r Row) Duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// Fence is the content of a fence row.
type Fence struct {
	// Holder is the process that acquired the lease.
	Holder string `json:"holder"`
	// Fence is the fencing number that it acquired it with.
	Fence uint64 `json:"fence"`
}

// ParseRow reads the content of a lease row. It returns ErrRow if it is
// malformed.
func ParseRow(value []byte) (Row, error) { return decode[Row](value) }

// decode reads the content of a row, which is the zero value if there is no
// row. It returns ErrRow if it is malformed.
func decode[T any](value []byte) (T, error) {
	var content T
	if len(value) == 0 {
		return content, nil
	}
	if err := json.Unmarshal(value, &content); err != nil {
		return content, merry.Wrap(ErrMalformedRow, merry.WithCause(err))
	}
	return content, nil
}

// find returns the row with the given key, of version 0 if it does not exist.
func find(rows []*table.Row, key string) *table.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return &table.Row{Key: key}
}

// encode returns the content of a row. Its types can always be encoded.
func encode(content any) []byte {
	value, err := json.Marshal(content)
	if err != nil {
		panic(merry.Prepend(err, "lease: encode"))
	}
	return value
}
