// Package hop removes the headers of a message that belong to one connection
// (RFC 9110, section 7.6.1).
package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// headers belong to one connection, whether or not Connection names them.
var headers = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHeaders removes the headers that belong to one connection, with those that
// Connection names unless they are among kept: a caller must not take out what
// the meaning of its request depends on. Names in kept are in canonical form.
func RemoveHeaders(h http.Header, kept map[string]bool) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if !kept[name] {
				delete(h, name)
			}
		}
	}
	for _, name := range headers {
		delete(h, name)
	}
}
