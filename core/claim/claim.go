package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
)

// Limits of what a caller may send or a claim may store.
const (
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
	// MaxBodyBytes is the maximum size of a response body that is stored.
	MaxBodyBytes = 64 << 10
	// TimeoutMargin is how long after the timeout of a call without a stored
	// outcome its outcome counts as unknown.
	TimeoutMargin = 5 * time.Second
)

// RowPrefix is the key prefix of the rows that hold claims.
const RowPrefix = "claim/"

// ErrMalformed is returned by Parse for a value that is not a claim.
var ErrMalformed = merry.Sentinel("claim: row does not contain a claim")

// Claim is the content of a row that reserves an idempotency key for one call.
type Claim struct {
	// ID is a random identifier by which the owner recognizes its own claim.
	ID string `json:"id"`
	// Fingerprint is a digest of the request, which detects the use of one
	// idempotency key for different requests.
	Fingerprint string `json:"fingerprint"`
	// CreatedAt is when the claim was created, by the clock of its owner.
	CreatedAt time.Time `json:"at"`
	// Owner is the name of the VM that created the claim.
	Owner string `json:"owner"`
	// OutcomeLost reports whether the call was sent and its outcome will never be
	// known.
	OutcomeLost bool `json:"lost,omitempty"`
	// Outcome is the outcome of the call, or nil while it is not known.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the HTTP response of a plain service.
type Outcome struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Headers are the headers that describe the body.
	Headers []Header `json:"headers,omitempty"`
	// Body is the response body, or empty if Truncated is set.
	Body []byte `json:"body,omitempty"`
	// Truncated reports whether the body was too large to be stored.
	Truncated bool `json:"truncated,omitempty"`
}

// Header is one header of a response.
type Header struct {
	// Name is the name of the header.
	Name string `json:"name"`
	// Value is its value.
	Value string `json:"value"`
}

// RowKey returns the key of the row that holds the claim on an idempotency key.
// Idempotency keys are scoped to one client account and one route.
func RowKey(clientAccount, route, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return RowPrefix + clientAccount + "/" + route + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint returns a hex-encoded digest of a request.
func Fingerprint(method, target, contentType string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, target, contentType} {
		writePart(h, part)
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// writePart writes a part and a terminator, so that different lists of parts do not
// have the same digest.
func writePart(h hash.Hash, part string) {
	_, _ = io.WriteString(h, part)
	_, _ = h.Write([]byte{0})
}

// Parse decodes the value of a claim's row. It returns ErrMalformed if the value is
// not a claim.
func Parse(value []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return Claim{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	if c.ID == "" {
		return Claim{}, ErrMalformed
	}
	return c, nil
}

// Marshal returns the value of the claim's row.
func (c Claim) Marshal() ([]byte, error) { return json.Marshal(c) }
