package explain

import "strings"

// outcomeCauses are explanations of the log field "outcome", by its value.
var outcomeCauses = map[string]string{
	"served":                       "the caller received a complete answer from a backend server",
	"caller-left":                  "the caller closed the connection before it received the complete answer",
	"answer-broken":                "the answer of the backend server ended before it was complete, and no other backend server could resume it",
	"may-have-run":                 "a backend server received the request but gave no usable answer, and the route does not allow a retry",
	"not-run":                      "no backend server accepted the request, and it certainly did not run",
	"no-backend-server":            "the VM knew no backend server of the service",
	"timeout":                      "the time limit of the caller or of the route expired before an answer arrived",
	"timeout-not-run":              "the time limit of the caller or of the route expired before a backend server accepted the request",
	"prompt-quarantined":           "a part of the prompt is quarantined because several model engines ended under it, and the request was not sent",
	"request-quarantined":          "the request is quarantined because several backend servers ended under it, and it was not sent",
	"stream-version-unknown":       "the caller took up a stream while servers of several software versions served, and no VM had reported which of them began it, so that it cannot go on",
	"stream-version-not-known-yet": "the caller took up a stream, and the VM could not read from the store which software version began it",
	"stream-version-not-serving":   "the caller took up a stream whose software version has no server left that takes requests",
	"servers-limited":              "all backend servers of the service name limits of requests a second, and this VM's part of them was used up",
	"servers-brittle":              "the backend servers of the service say that they are brittle, and there was no room in this VM's part of their slots",
	"shut-down-may-have-run":       "the VM stopped while a backend server was running the request",
	"shutting-down":                "the VM was about to stop, too soon for the request",
	"catalog-unknown":              "the VM had not read the configuration yet",
	"route-unknown":                "no route of the configuration in force matches the host and the path",
	"key-unknown":                  "the key is not in the configuration in force",
	"body-too-large":               "the body is larger than the configuration allows",
	"body-incomplete":              "the caller did not send the complete body",
}

// attemptResults are explanations of the result of the last attempt, by the word that stands
// for it in the log field "attempts". Results that add nothing to the outcome are left
// out.
var attemptResults = map[string]string{
	"unreached": "the connection to the backend server failed",
	"rejected":  "the backend server replied that it was full or that it was not the expected replica, and did not run the request",
	"broken":    "the connection ended, or the answer did not belong to the request",
	"cut":       "the stream ended early",
	"moved":     "the run was moved to another engine, which did not continue it",
}

// causeOf returns the explanation of the outcome in a line, or an empty string if the
// line has none.
func causeOf(l Line) string {
	outcome, _ := l.Fields["outcome"].(string)
	cause := outcomeCauses[outcome]
	attempts := stringsOf(l.Fields["attempts"])
	if cause == "" || outcome == "served" || len(attempts) == 0 {
		return cause
	}
	last := strings.Fields(attempts[len(attempts)-1])
	for _, word := range last {
		if detail := attemptResults[word]; detail != "" {
			cause += ": " + detail
			break
		}
	}
	for _, word := range last {
		if via, ok := strings.CutPrefix(word, "via="); ok {
			cause += "; the VM did not reach the backend server and sent the request through the one at " + via
		}
	}
	return cause
}
