package plain

import (
	"net/http"
	"strings"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/hop"
)

// secretHeaders can carry a caller's key or other secrets.
var secretHeaders = []string{
	"Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key", "Api-Key", "Apikey", "X-Auth-Token",
}

// ownHeaders are set by the entry daemon itself or mean something to it alone.
var ownHeaders = []string{"X-Request-Id", "X-Service-Class", "Traceparent", "Tracestate", "Baggage", "Expect", "Host"}

// requestHeaders returns the headers of a call that its plain service is sent:
// none that belongs to the caller's connection or could carry its key.
func requestHeaders(caller http.Header) http.Header {
	h := make(http.Header, len(caller))
	key := apikey.FromAuthorization(caller.Get("Authorization"))
	for name, values := range caller {
		if !holdsKey(values, key) {
			h[name] = values
		}
	}
	hop.RemoveHeaders(h, nil)
	remove(h, secretHeaders)
	remove(h, ownHeaders)
	return h
}

// holdsKey reports whether any value holds the caller's key or any other.
func holdsKey(values []string, key string) bool {
	for _, v := range values {
		if strings.Contains(v, apikey.Prefix) || (key != "" && strings.Contains(v, key)) {
			return true
		}
	}
	return false
}

// answerHeaders copies the headers of an answer that its caller is sent.
func answerHeaders(to, from http.Header) {
	from = from.Clone()
	hop.RemoveHeaders(from, nil)
	from.Del("X-Request-Id")
	for name, values := range from {
		to[name] = values
	}
}

func remove(h http.Header, names []string) {
	for _, name := range names {
		delete(h, name)
	}
}
