package forwarding

import (
	"context"
	"net/http"
	"strings"
	"time"

	"acaciapath.example/core/replica"
)

// reachesTimeout bounds the calls that ask whether neighbours reach a backend server.
const reachesTimeout = time.Second

// Reaches asks neighbours whether they reach a backend server, until one does. known is false if
// none answers.
func (a *Asker) Reaches(ctx context.Context, server, address string) (reached, known bool) {
	ctx, cancel := context.WithTimeout(ctx, reachesTimeout)
	defer cancel()
	var asked, unreached []string
	for len(unreached) < maxServersUnreached && len(asked) < maxAsked {
		a.mu.Lock()
		via, ok := a.selector.Begin(asked, time.Now(), a.random)
		a.mu.Unlock()
		if !ok {
			break
		}
		asked = append(asked, via)
		switch a.check(ctx, via, server, address) {
		case resultAnswered:
			a.noteAlsoCutOff(unreached)
			return true, true
		case string(ReasonDialFailed):
			unreached = append(unreached, via)
		}
	}
	return false, len(unreached) > 0
}

// check asks one neighbour whether it reaches a backend server. It returns resultAnswered, a reason
// or an empty string.
func (a *Asker) check(ctx context.Context, via, server, address string) string {
	defer a.end(via)
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+via+"/", http.NoBody)
	if err != nil {
		return ""
	}
	call.Header[headerCheck], call.Header[headerFrom] = []string{server + " " + address}, []string{a.VM}
	response, err := a.pooled.RoundTrip(call)
	if err != nil {
		return ""
	}
	_ = response.Body.Close() // it has no answer
	switch words := strings.Fields(response.Header.Get(headerResult)); {
	case len(words) == 1 && words[0] == resultAnswered:
		return resultAnswered
	case len(words) == 2:
		return words[1]
	}
	return ""
}

// answerCheck answers whether the lender reaches a backend server.
func (l *Lender) answerCheck(w http.ResponseWriter, r *http.Request, asker string, server replica.Spec) {
	if !l.Accepts(server.Address) {
		l.refuse(w, r, asker, ReasonDialFailed)
		return
	}
	l.Metrics.countLent("checked")
	w.Header()[headerResult] = []string{resultAnswered}
	w.WriteHeader(http.StatusNoContent)
}
