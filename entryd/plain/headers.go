package plain

import (
	"net/http"
	"strings"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/hop"
)

// secretHeaders may contain a caller's key or other secrets.
var secretHeaders = []string{
	"Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key", "Api-Key", "Apikey", "X-Auth-Token",
}

// reservedHeaders are set by the entry daemon or are meant for it alone.
var reservedHeaders = []string{"X-Request-Id", "X-Service-Class", "Traceparent", "Tracestate", "Baggage", "Expect", "Host"}

// requestHeaders returns the headers of a call that its plain service receives:
// all except those that concern only the caller's connection or could contain
// its key.
func requestHeaders(headers http.Header) http.Header {
	h := make(http.Header, len(headers))
	key := apikey.FromAuthorization(headers.Get("Authorization"))
	for name, values := range headers {
		if !holdsKey(values, key) {
			h[name] = values
		}
	}
	hop.RemoveHeaders(h, nil)
	deleteHeaders(h, secretHeaders)
	deleteHeaders(h, reservedHeaders)
	return h
}

// holdsKey reports whether a value contains the given key or anything with the
// prefix of keys.
func holdsKey(values []string, key string) bool {
	for _, v := range values {
		if strings.Contains(v, apikey.Prefix) || (key != "" && strings.Contains(v, key)) {
			return true
		}
	}
	return false
}

// copyAnswerHeaders copies the headers of a response that the caller receives.
func copyAnswerHeaders(to, from http.Header) {
	from = from.Clone()
	hop.RemoveHeaders(from, nil)
	from.Del("X-Request-Id")
	for name, values := range from {
		to[name] = values
	}
}

func deleteHeaders(h http.Header, names []string) {
	for _, name := range names {
		delete(h, name)
	}
}
