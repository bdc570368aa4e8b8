package order

import (
	"encoding/json"
	"fmt"
	"strings"

	"acaciapath.example/core/config"

	"github.com/ansel1/merry/v2"
)

// Prefixes of row keys and of order-ids.
const (
	intentPrefix  = "order/intent/"
	drainPrefix   = "order/drain/"
	orderIDPrefix = "acaciapath/"
)

// Errors of this package.
var (
	// ErrMalformedRow is returned for a row whose value cannot be decoded.
	ErrMalformedRow = merry.Sentinel("order: row is malformed")
	// ErrSuperseded is returned if the lease of the failure domain has changed
	// hands since the state was read.
	ErrSuperseded = merry.Sentinel("order: lease has changed hands")
)

// Intent records an order that may have been sent.
type Intent struct {
	// Number is unique in the failure domain.
	Number string `json:"number"`
	// Pool is the name of the pool that the backend server is ordered for.
	Pool string `json:"pool"`
	// FailureDomain is the failure domain of the pool.
	FailureDomain string `json:"failure-domain"`
	// Kind is the purchase kind of the backend server.
	Kind config.ServerKind `json:"kind"`
	// Model is the model that the backend server loads.
	Model string `json:"model"`
}

// OrderID returns the order-id of the intent.
func (i Intent) OrderID() string {
	return orderIDPrefix + i.FailureDomain + "/" + i.Pool + "/" + i.Number
}

// key returns the key of the intent's row.
func (i Intent) key() string { return intentKeyPrefix(i.FailureDomain) + i.Number }

// Drain records that a backend server gets no new work.
type Drain struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Released reports whether its release may have been sent.
	Released bool `json:"released"`
}

// intentNumber returns the number of the nth intent written under the fencing
// token. Numbers sort in the order in which they were written.
func intentNumber(fence uint64, n int) string { return fmt.Sprintf("%010d-%06d", fence, n) }

// poolOf returns the name of the pool that an order in a failure domain was for.
// It reports false if the order-id was not created by this package for that
// failure domain.
func poolOf(orderID, failureDomain string) (string, bool) {
	rest, ok := strings.CutPrefix(orderID, orderIDPrefix+failureDomain+"/")
	if !ok {
		return "", false
	}
	end := strings.LastIndexByte(rest, '/')
	if end < 0 {
		return "", false
	}
	return rest[:end], true
}

func intentKeyPrefix(failureDomain string) string { return intentPrefix + failureDomain + "/" }

// drainKeyPrefix returns the key prefix of the drains of a failure domain, or of
// all failure domains if it is empty.
func drainKeyPrefix(failureDomain string) string {
	if failureDomain == "" {
		return drainPrefix
	}
	return drainPrefix + failureDomain + "/"
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
		panic(merry.Prepend(err, "order: cannot encode row"))
	}
	return value
}
