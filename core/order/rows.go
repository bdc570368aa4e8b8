package order

import (
	"encoding/json"
	"fmt"
	"strings"

	"acaciapath.example/core/config"

	"github.com/ansel1/merry/v2"
)

// Prefixes of rows and of order-ids.
const (
	intentPrefix  = "order/intent/"
	drainPrefix   = "order/drain/"
	orderIDPrefix = "acaciapath/"
)

// Errors of this package.
var (
	// ErrMalformedRow is returned for a row whose content cannot be read.
	ErrMalformedRow = merry.Sentinel("order: row is malformed")
	// ErrSuperseded is returned when a write was refused because the lease of
	// the failure domain has changed hands.
	ErrSuperseded = merry.Sentinel("order: lease has changed hands")
)

// Intent is an order that may have been sent.
type Intent struct {
	// Number is unique in the failure domain.
	Number string `json:"number"`
	// Pool is the name of the pool.
	Pool string `json:"pool"`
	// FailureDomain is the failure domain of the pool.
	FailureDomain string `json:"failure-domain"`
	// Kind is the purchase kind.
	Kind config.ServerKind `json:"kind"`
	// Model is the model to load.
	Model string `json:"model"`
}

// OrderID returns the order-id of the intent.
func (i Intent) OrderID() string {
	return orderIDPrefix + i.FailureDomain + "/" + i.Pool + "/" + i.Number
}

// key returns the key of the intent's row.
func (i Intent) key() string { return intentKeyPrefix(i.FailureDomain) + i.Number }

// Drain is a backend server that is to get no more work.
type Drain struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Released says whether its release may have been sent.
	Released bool `json:"released"`
}

// intentNumber returns the number of the nth intent of a holder of the lease.
func intentNumber(fence uint64, n int) string { return fmt.Sprintf("%010d-%06d", fence, n) }

// poolOf returns the name of the pool that an order in a failure domain was
// for. It reports false for an order that this package has not given there.
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

// drainKeyPrefix returns the prefix of the drains of a failure domain, or of all
// if it is empty.
func drainKeyPrefix(failureDomain string) string {
	if failureDomain == "" {
		return drainPrefix
	}
	return drainPrefix + failureDomain + "/"
}

// decode reads the content of a row. It returns ErrRow if it is malformed.
func decode[T any](value []byte) (T, error) {
	var content T
	if err := json.Unmarshal(value, &content); err != nil {
		return content, merry.Wrap(ErrMalformedRow, merry.WithCause(err))
	}
	return content, nil
}

// encode returns the content of a row. Its types can always be encoded.
func encode(content any) []byte {
	value, err := json.Marshal(content)
	if err != nil {
		panic(merry.Prepend(err, "order: encode"))
	}
	return value
}
