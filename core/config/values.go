package config

import (
	"encoding/hex"
	"net/http"
	"path"
	"strings"

	"github.com/ansel1/merry/v2"

	"acaciapath.example/core/value"
)

// methodAny is the value of a route's method setting that matches all methods.
const methodAny = "any"

// reservedPrefixes are the path prefixes that the router serves itself.
var reservedPrefixes = []string{"/v1/chat", "/v1/models", "/healthz", "/readyz", "/metrics"}

// hashParser returns a parser of SHA-256 hashes. Its errors do not quote the
// value, because an operator may have written the key itself.
func hashParser() value.Parser[[32]byte] {
	return value.Parser[[32]byte]{Type: "SHA-256 of the key in hexadecimal", Parse: func(text string) ([32]byte, error) {
		var sum [32]byte
		decoded, err := hex.DecodeString(text)
		if err != nil {
			return sum, merry.New("the value looks like a key instead of its hash; withdraw the key if it is one, and write the SHA-256 in hexadecimal")
		}
		if len(decoded) != len(sum) {
			return sum, merry.Errorf("the value has %d hexadecimal digits; a SHA-256 has %d", len(text), 2*len(sum))
		}
		copy(sum[:], decoded)
		return sum, nil
	}}
}

// methodParser returns a parser of HTTP methods. It returns an empty string for
// methodAny.
func methodParser() value.Parser[string] {
	words := value.OneOf(methodAny, http.MethodGet, http.MethodHead, http.MethodPost,
		http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions)
	return value.Parser[string]{Type: words.Type, Parse: func(text string) (string, error) {
		m, err := words.Parse(text)
		if m == methodAny {
			return "", err
		}
		return m, err
	}}
}

// pathPrefixParser returns a parser of path prefixes. It rejects those that the
// router serves itself.
func pathPrefixParser() value.Parser[string] {
	return value.Parser[string]{
		Type:  "path that starts with a slash",
		Range: "not at or below " + strings.Join(reservedPrefixes, ", "),
		Parse: func(text string) (string, error) {
			if !strings.HasPrefix(text, "/") {
				return "", merry.Errorf("%s does not start with a slash", value.Quote(text))
			}
			trimmed := strings.TrimSuffix(text, "/")
			if trimmed != "" && path.Clean(text) != trimmed || strings.ContainsAny(text, "?#%\\ \t") {
				return "", merry.Errorf("%s is not a clean path: no empty, . or .. segments, queries, escapes or spaces", value.Quote(text))
			}
			for _, reserved := range reservedPrefixes {
				if trimmed == reserved || strings.HasPrefix(trimmed, reserved+"/") {
					return "", merry.Errorf("%s is at or below %s, which the router serves itself", value.Quote(text), reserved)
				}
			}
			return text, nil
		},
	}
}
