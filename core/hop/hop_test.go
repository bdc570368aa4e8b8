package hop_test

import (
	"net/http"
	"testing"

	"acaciapath.example/core/hop"

	qt "github.com/frankban/quicktest"
)

func TestRemoveHeaders(t *testing.T) {
	c := qt.New(t)
	h := http.Header{
		"Connection":        {"close, x-one", "X-Two,X-Kept"},
		"X-One":             {"1"},
		"X-Two":             {"2"},
		"X-Kept":            {"3"},
		"X-Other":           {"4"},
		"Te":                {"trailers"},
		"Transfer-Encoding": {"chunked"},
	}
	hop.RemoveHeaders(h, map[string]bool{"X-Kept": true})
	c.Assert(h, qt.DeepEquals, http.Header{"X-Kept": {"3"}, "X-Other": {"4"}})
	hop.RemoveHeaders(http.Header{}, nil)
}
