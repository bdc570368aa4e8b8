package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and are always removed, whether
// or not the Connection header names them.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHeaders deletes from h the hop-by-hop headers, and the headers that its
// Connection header names unless they are in kept: a client must not be able to
// remove the headers on which the meaning of its request depends. Names in kept
// are in canonical form.
func RemoveHeaders(h http.Header, kept map[string]bool) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if !kept[name] {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}
