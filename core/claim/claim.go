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

// Bounds of what a caller may send or a claim may hold.
const (
	// MaxKeyBytes is the greatest length of an idempotency key.
	MaxKeyBytes = 255
	// MaxBodyBytes is the greatest size of an answer's body that is stored.
	MaxBodyBytes = 64 << 10
	// TimeoutMargin is added to a call's timeout before its outcome counts as unknown.
	TimeoutMargin = 5 * time.Second
)

// RowPrefix is the prefix of the keys of the rows that hold claims.
const RowPrefix = "claim/"

// ErrMalformed is returned by Parse for a row that holds no claim.
var ErrMalformed = merry.Sentinel("claim: row holds no claim")

// Claim is the content of a row.
type Claim struct {
	// ID is random and names the claim, so that its owner knows its own.
	ID string `json:"id"`
	// Fingerprint tells requests with the same idempotency key apart.
	Fingerprint string `json:"fingerprint"`
	// CreatedAt is when the claim was made, by the clock of its owner.
	CreatedAt time.Time `json:"at"`
	// Owner is the name of the VM that made the claim.
	Owner string `json:"owner"`
	// OutcomeLost says whether the call was sent and its outcome will not be known.
	OutcomeLost bool `json:"lost,omitempty"`
	// Outcome is what the call brought, or nil while that is not known.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the answer of a plain service.
type Outcome struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Headers are those that go with the body.
	Headers []Header `json:"headers,omitempty"`
	// Body is the body, or empty if Truncated.
	Body []byte `json:"body,omitempty"`
	// Truncated says whether the body was too large to be stored.
	Truncated bool `json:"truncated,omitempty"`
}

// Header is one header of an answer.
type Header struct {
	// Name is the name of the header.
	Name string `json:"name"`
	// Value is its value.
	Value string `json:"value"`
}

// RowKey returns the key of the row of an idempotency key, which belongs to
// one client account and one route.
func RowKey(clientAccount, route, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return RowPrefix + clientAccount + "/" + route + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint returns a digest of what a call asks for.
func Fingerprint(method, target, contentType string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, target, contentType} {
		writePart(h, part)
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// writePart ends a part so that no two lists of parts have the same digest.
func writePart(h hash.Hash, part string) {
	_, _ = io.WriteString(h, part)
	_, _ = h.Write([]byte{0})
}

// Parse returns the claim of a row. It returns ErrMalformed if there is none.
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

// Marshal returns the content of the claim's row.
func (c Claim) Marshal() ([]byte, error) { return json.Marshal(c) }
