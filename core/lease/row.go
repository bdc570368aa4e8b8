package lease

import (
	"encoding/json"
	"time"

	"acaciapath.example/core/gen/table"

	"github.com/ansel1/merry/v2"
)

// Prefixes of the row keys of this package.
const (
	// RowPrefix is the key prefix of lease rows.
	RowPrefix   = "lease/"
	fencePrefix = "fence/"
)

// UsageReportsName is the name of the lease whose holder sends usage reports.
const UsageReportsName = "usage"

// Errors of this package.
var (
	// ErrNotHeld is returned by Keeper.Do if the process may not send, because it
	// does not hold the lease or its grant has ended.
	ErrNotHeld = merry.Sentinel("lease: not held")
	// ErrMalformedRow is returned for a row whose value cannot be decoded.
	ErrMalformedRow = merry.Sentinel("lease: row is malformed")
	// ErrTornRead is returned if the lease changed hands between the reads of its
	// two rows.
	ErrTornRead = merry.Sentinel("lease: lease row and fence row have different fencing tokens")
)

// ErrOutdatedRead is returned for a read that was answered before the table was restored
// from a backup.
var ErrOutdatedRead = merry.Sentinel("lease: table was restored after it was read")

// OrdersName returns the name of the lease whose holder orders backend servers in
// a failure domain.
func OrdersName(failureDomain string) string { return "orders/" + failureDomain }

// RowKey returns the key of the lease row.
func RowKey(name string) string { return RowPrefix + name }

// FenceKey returns the key of the fence row.
func FenceKey(name string) string { return fencePrefix + name }

// Row is the content of a lease row.
type Row struct {
	// Holder is the name of the process that holds the lease, or empty if the
	// lease was released.
	Holder string `json:"holder"`
	// Fence is the fencing token. It increases each time the lease is acquired.
	Fence uint64 `json:"fence"`
	// DurationMS is how long the lease lasts from this write on, in milliseconds.
	DurationMS int64 `json:"milliseconds"`
	// Attempt is the number of this write among those of the holder, which tells
	// the holder which of its writes took effect.
	Attempt uint64 `json:"attempt"`
	// Epoch is the epoch of the table in which the holder wrote the row. In a later
	// epoch the row is one of a backup, which says nothing about the present holder.
	Epoch uint64 `json:"epoch,omitempty"`
	// Candidates is the number of processes that poll the row, as far as the
	// holder knows, or 0 if unknown.
	Candidates int `json:"candidates,omitempty"`
}

// Duration returns how long the lease lasts from this write on.
func (r Row) Duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// Fence is the content of a fence row.
type Fence struct {
	// Holder is the name of the process that acquired the lease.
	Holder string `json:"holder"`
	// Fence is the fencing token of that acquisition.
	Fence uint64 `json:"fence"`
}

// ParseRow decodes the value of a lease row; an empty value gives the zero Row. It
// returns ErrMalformedRow on failure.
func ParseRow(value []byte) (Row, error) { return decode[Row](value) }

// decode decodes the value of a row; an empty value, of a row that does not exist,
// gives the zero value. It returns ErrMalformedRow on failure.
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

// findRow returns the row with the given key, or an empty row of version 0 if it
// is not in rows.
func findRow(rows []*table.Row, key string) *table.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return &table.Row{Key: key}
}

// encode returns the value of a row. The row types of this package can always be
// encoded.
func encode(content any) []byte {
	value, err := json.Marshal(content)
	if err != nil {
		panic(merry.Prepend(err, "lease: cannot encode row"))
	}
	return value
}
