// Package apikey makes and hashes the keys of client accounts.
package apikey

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Prefix starts every key, so that scanners find a leaked one.
const Prefix = "acacia_"

// secretBytes is the number of random bytes in a key.
const secretBytes = 32

// ErrRandom is returned by New when the random source fails.
var ErrRandom = merry.Sentinel("apikey: random source failed")

// New returns a new key whose secret part is read from random.
// It returns ErrRandom if random fails.
func New(random io.Reader) (string, error) {
	secret := make([]byte, secretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", merry.Wrap(ErrRandom, merry.WithCause(err))
	}
	return Prefix + base64.RawURLEncoding.EncodeToString(secret), nil
}

// Hash returns the SHA-256 of a key. Keys are random and long, so that a hash
// without salt and stretching does not give them away.
func Hash(key string) [32]byte {
	return sha256.Sum256([]byte(key))
}

// FromAuthorization returns the key in an Authorization header of the bearer
// scheme (RFC 6750), or an empty string.
func FromAuthorization(header string) string {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
