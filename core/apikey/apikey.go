package apikey

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Prefix is the start of every key, so that secret scanners find leaked keys.
const Prefix = "acacia_"

// secretBytes is the number of random bytes in a key.
const secretBytes = 32

// ErrRandom is returned by New when the random source fails.
var ErrRandom = merry.Sentinel("apikey: random source failed")

// New returns a new key, whose secret part is read from random. It returns
// ErrRandom if random fails.
func New(random io.Reader) (string, error) {
	secret := make([]byte, secretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", merry.Wrap(ErrRandom, merry.WithCause(err))
	}
	return Prefix + base64.RawURLEncoding.EncodeToString(secret), nil
}

// Hash returns the SHA-256 hash of a key. Keys are random and long, so that
// they cannot be guessed from their hashes although the hash uses neither salt
// nor key stretching.
func Hash(key string) [32]byte {
	return sha256.Sum256([]byte(key))
}

// FromAuthorization returns the key in an Authorization header of the Bearer
// scheme (RFC 6750), or an empty string if the header has another form.
func FromAuthorization(header string) string {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
