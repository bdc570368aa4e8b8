package proxy

import (
	"strconv"
	"time"

	"acaciapath.example/core/catalog"
	"acaciapath.example/core/workload"

	"github.com/sirupsen/logrus"
)

// attempt describes one attempt to run a request on a backend server, for logs and
// metrics. The fields running and unreadTokens are the load that this daemon had there
// before the attempt.
type attempt struct {
	server        string
	domain        string
	version       string
	running       int
	unreadTokens  int
	result        string
	timeToHeaders time.Duration
	// via is the address of the neighbour through which the request was sent, or empty.
	via string
}

// logFields returns the log fields of the request.
func (x *exchange) logFields(now time.Time) logrus.Fields {
	f := logrus.Fields{
		"request-id": x.metadata.AttemptID,
		"status":     x.status,
		"outcome":    x.outcome,
		"took-ms":    now.Sub(x.arrived).Milliseconds(),
		"may-run":    x.mayHaveExecuted,
	}
	if x.view != nil {
		f["revision"] = x.view.Index.Catalog.Revision
		f["revision-age-ms"] = now.Sub(x.view.Since).Milliseconds()
	}
	if x.route != nil {
		f["route"] = x.route.Name
		f["wait-ms"] = x.metadata.Timeout.Milliseconds()
		f["tier"] = catalog.Tier(x.route, x.account)
	}
	if x.account != nil {
		f["client-account"] = x.account.Name
	}
	if len(x.attempts) > 0 {
		f["attempts"] = formatAttempts(x.attempts)
	}
	if x.metadata.LastEventID != "" {
		f["resumes"], f["last-event-id"], f["stream-version"] = x.metadata.Resumes, x.metadata.LastEventID, x.requirements.Version
	}
	if x.answerEnd != "" {
		f["answer-end"] = x.answerEnd
	}
	if x.eventCount > 0 {
		f["events"] = x.eventCount
	}
	if x.outcome != outcomeServed && x.route != nil {
		f["request-key"] = strconv.FormatUint(x.requestKey(), 16)
	}
	if x.outcome != outcomeServed && x.requirements.Generates {
		f["prompt-parts"] = formatParts(x.metadata.Work.SharedParts())
	}
	return f
}

// formatParts formats parts of a prompt for the log, by their hexadecimal ids.
func formatParts(parts []workload.PromptPart) []string {
	list := make([]string, len(parts))
	for i, p := range parts {
		list[i] = strconv.FormatUint(p.ID, 16)
	}
	return list
}

// formatAttempts formats attempts for the log, each as
// "server/domain version=V running=N reading=N result first-ms=N", and via=ADDRESS if it went
// through a neighbour.
func formatAttempts(attempts []attempt) []string {
	list := make([]string, len(attempts))
	for i, a := range attempts {
		list[i] = a.server + "/" + a.domain +
			" version=" + a.version + " running=" + strconv.Itoa(a.running) + " reading=" + strconv.Itoa(a.unreadTokens) +
			" " + a.result + " first-ms=" + strconv.FormatInt(a.timeToHeaders.Milliseconds(), 10)
		if a.via != "" {
			list[i] += " via=" + a.via
		}
	}
	return list
}
