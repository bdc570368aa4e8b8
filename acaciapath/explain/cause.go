package explain

import "strings"

// causes tell what the outcome of a request means.
var causes = map[string]string{
	"served":            "the caller got a whole answer of a backend server",
	"caller-left":       "the caller closed the connection before it had the whole answer",
	"answer-broken":     "the backend server ended the answer before it was whole, and nothing could go on with it",
	"may-have-run":      "the backend server got the request and gave no usable answer, and the route allows no further run",
	"not-run":           "no backend server took the request, and it certainly did not run",
	"no-backend-server": "the VM knew no backend server of the service",
	"timeout":           "the time of the caller or of the route was over before an answer came",
	"timeout-not-run":   "the time of the caller or of the route was over before a backend server took the request",
	"catalog-unknown":   "the VM had not read the configuration yet",
	"route-unknown":     "no route of the configuration in force matches host and path",
	"key-unknown":       "the key is not in the configuration in force",
	"body-too-large":    "the body is larger than the configuration allows",
	"body-incomplete":   "the caller did not send its whole body",
}

// lastResults tell what became of the last sending, where that says more.
var lastResults = map[string]string{
	"unreached": "the backend server could not be connected to",
	"rejected":  "the backend server said that it was full or another one, and did not run it",
	"broken":    "the connection ended, or the answer was none of the request's",
	"cut":       "the stream ended in its middle",
	"moved":     "the run was moved to another engine, which did not go on with it",
}

// causeOf returns what a line says of the end of a request, or an empty string.
func causeOf(l Line) string {
	outcome, _ := l.Fields["outcome"].(string)
	cause := causes[outcome]
	attempts := texts(l.Fields["attempts"])
	if cause == "" || outcome == "served" || len(attempts) == 0 {
		return cause
	}
	for _, word := range strings.Fields(attempts[len(attempts)-1]) {
		if more := lastResults[word]; more != "" {
			return cause + ": " + more
		}
	}
	return cause
}
