package plain

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRequestHeaders(t *testing.T) {
	c := qt.New(t)
	sent := requestHeaders(http.Header{
		"Authorization":   {"Bearer secret"},
		"Cookie":          {"a=b"},
		"X-Copy":          {"my secret key"},
		"X-Other":         {"acacia_abc"},
		"Connection":      {"X-Hop, close"},
		"X-Hop":           {"1"},
		"X-Request-Id":    {"caller's"},
		"Content-Type":    {"text/plain"},
		"Idempotency-Key": {"k"},
	})
	c.Assert(sent, qt.DeepEquals, http.Header{"Content-Type": {"text/plain"}, "Idempotency-Key": {"k"}})
}
