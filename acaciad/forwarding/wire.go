package forwarding

import (
	"net/http"
	"net/url"
	"strings"

	"acaciapath.example/core/memory"
)

// Headers between an asker and a lender, in canonical form. Other requests at the lender's port
// have none of them, and neither backend servers nor callers see them.
const (
	// headerPrefix is the prefix of all of them.
	headerPrefix = "Acaciapath-Forward-"
	// headerTo has the name and the address of the backend server, separated by a space.
	headerTo = headerPrefix + "To"
	// headerCheck replaces it in calls that ask whether the lender reaches a backend server.
	headerCheck = headerPrefix + "Check"
	// headerFrom has the VM of the asker.
	headerFrom = headerPrefix + "From"
	// headerRepeatable is set if the backend server may receive the request twice.
	headerRepeatable = headerPrefix + "Repeatable"
	// headerResult tells in answers how the request ended. Without it, an answer is none.
	headerResult = headerPrefix + "Result"
	// headerConnection has the Connection header of the backend server's answer.
	headerConnection = headerPrefix + "Connection"
)

// Values of headerResult. Words may follow, separated by spaces.
const (
	// resultAnswered means that status, headers and body are those of the backend server's
	// answer. wordReused and wordUnframed may follow.
	resultAnswered = "answered"
	// resultNotSent means that the backend server certainly was not sent the request. A reason
	// follows.
	resultNotSent = "not-sent"
	// resultBroken means that the backend server may have been sent the request, and that there
	// is no usable answer.
	resultBroken = "broken"

	// wordReused means that the connection to the backend server had carried another request.
	wordReused = "reused"
	// wordUnframed means that the answer had neither a length nor chunks.
	wordUnframed = "unframed"
)

// Reason is why a lender did not send a request.
type Reason string

// Reasons for which a request was not sent.
const (
	ReasonNone       Reason = ""
	ReasonBusy       Reason = "busy"
	ReasonDraining   Reason = "draining"
	ReasonCutOff     Reason = "cut-off"
	ReasonMemory     Reason = "memory"
	ReasonBody       Reason = "body"
	ReasonInvalid    Reason = "invalid"
	ReasonDialFailed Reason = "dial-failed"
	// The following ones concern the backend server.
	ReasonServerUnknown     Reason = "server-unknown"
	ReasonServerLeaving     Reason = "server-leaving"
	ReasonServerMisdirected Reason = "server-misdirected"
	ReasonServerEvacuated   Reason = "server-evacuated"
	ReasonServerPaused      Reason = "server-paused"
)

// concernsServer reports whether a reason concerns the backend server, so that other neighbours are
// likely to give it too.
func (r Reason) concernsServer() bool { return strings.HasPrefix(string(r), "server-") }

// Request is a request to a backend server.
type Request struct {
	Method string
	Target *url.URL
	Host   string
	// Header is complete: nothing is added to it.
	Header http.Header
	Body   *memory.Body
	// Server is the name of the backend server, and Address its IP address and port.
	Server, Address string
	// Repeatable states that the backend server may receive the request twice.
	Repeatable bool
}

// Transmission tells what is known of a request that was sent.
type Transmission struct {
	// Sent states that the backend server may have received the request.
	Sent bool
	// Reused states that its connection had carried another request before.
	Reused bool
	// Via is the address of the neighbour that was asked last, or empty if the request was sent
	// on the own path.
	Via string
	// Reason is why the neighbour did not send the request, if it said so.
	Reason Reason
}

// isForwarded reports whether a request at the port of a lender is for the lender.
func isForwarded(r *http.Request) bool {
	return len(r.Header[headerTo]) > 0 || len(r.Header[headerCheck]) > 0
}

// removeOwnHeaders deletes the headers between askers and lenders.
func removeOwnHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// hopHeaders are the headers of answers that concern the connection to the backend server, which
// the lender's own replace.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}
