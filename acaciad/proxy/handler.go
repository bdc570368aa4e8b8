package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/usage"
	"acaciapath.example/core/workload"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// Limits of a request.
const (
	// answerMargin is how long before the caller's deadline an answer is given,
	// so that it arrives in time.
	answerMargin = 40 * time.Millisecond
	// defaultWait is how long a request is kept that says no deadline and whose
	// route is not known yet.
	defaultWait = 30 * time.Second
	// defaultBodyBytes bounds a body while the catalog sets no bound.
	defaultBodyBytes = 4 << 20
)

// Times that refused callers are told.
const (
	// afterStart is told while the daemon does not know the catalog yet.
	afterStart = 500 * time.Millisecond
	// afterFailure is told when no backend server took the request.
	afterFailure = 300 * time.Millisecond
)

// Handler serves callers. All fields are set once and then only read.
type Handler struct {
	// Directory is what the daemon believes.
	Directory *directory.Directory
	// Client speaks to backend servers.
	Client *Client
	// Engines moves the memory of runs between model engines; nil if they cannot.
	Engines *platform.EngineClient
	// Wire translates headers.
	Wire platform.HeaderCodec
	// Meter takes in what ran.
	Meter *usage.Meter
	// Metrics counts what became of requests.
	Metrics *Metrics
	// Logger logs what became of requests.
	Logger *logrus.Logger
	// RetryBudgets bound retries by service.
	RetryBudgets *Budgets
	// MoveBudgets bound the runs that are moved to other engines, by service: the
	// platform counts each as one more sending of its request.
	MoveBudgets *Budgets
	// Draining ends when the daemon begins to shut down.
	Draining context.Context
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		handler: h,
		writer:  w,
		request: r,
		arrived: time.Now(),
		ask:     h.Wire.ParseRequest(r.Header),
	}
	if h.Draining.Err() != nil {
		w.Header().Set("Connection", "close")
	}
	defer x.report()
	if refused := x.serve(); refused != nil {
		x.refuse(refused)
	}
}

// refusal is an answer of the daemon's own.
type refusal struct {
	status int
	// reason says in a word why.
	reason string
	// after is when the caller may come back, or 0.
	after time.Duration
}

// Refusals that do not depend on the request.
var (
	noCatalog    = &refusal{status: http.StatusServiceUnavailable, reason: "catalog-unknown", after: afterStart}
	noRoute      = &refusal{status: http.StatusNotFound, reason: "route-unknown"}
	noKey        = &refusal{status: http.StatusUnauthorized, reason: "key-unknown"}
	bodyTooLarge = &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	bodyBroken   = &refusal{status: http.StatusBadRequest, reason: "body-incomplete"}
	noServer     = &refusal{status: http.StatusServiceUnavailable, reason: "no-backend-server", after: afterFailure}
	notRun       = &refusal{status: http.StatusServiceUnavailable, reason: "not-run", after: afterFailure}
	mayHaveRun   = &refusal{status: http.StatusBadGateway, reason: "may-have-run"}
	timeoutRun   = &refusal{status: http.StatusGatewayTimeout, reason: "timeout"}
	timeoutIdle  = &refusal{status: http.StatusServiceUnavailable, reason: "timeout-not-run"}
)

// exchange is one request of a caller. It is used by one thread.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time
	ask     workload.Metadata

	view    *directory.View
	route   *catalog.Route
	account *catalog.Account
	service string
	wish    placement.Requirements
	body    []byte

	// ran says whether the request may have run.
	ran bool
	// failure is the answer of a backend server that failed the request, while
	// others are tried.
	failure *held
	// counted says whether the meter has the request.
	counted bool
	// attempts are the backend servers that were tried, in order.
	attempts []attempt
	// begun is the attempt whose first event has arrived.
	begun *directory.Reservation
	// moved is where a run goes on whose memory was moved, and copy its memory.
	moved *directory.Reservation
	copy  platform.CacheCopy
	// move follows the run of the attempt whose events are passed on.
	move *move
	// lastEvent is the last whole event of a stream that the caller was sent.
	lastEvent string
	// events is the number of events passed on.
	events int
	// status and outcome are what the caller got.
	status  int
	outcome string
}

// attempt is one sending of a request to a backend server.
type attempt struct {
	server  string
	domain  string
	running int
	reading int
	result  string
	first   time.Duration
}

func (x *exchange) serve() *refusal {
	h := x.handler
	x.view = h.Directory.View()
	if x.view == nil {
		return noCatalog
	}
	index := x.view.Index
	x.route = index.Route(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		return noRoute
	}
	if x.ask.APIKey != "" {
		x.account = index.AccountByKey(x.ask.APIKey)
	}
	if index.RequiresKey(x.route) && x.account == nil {
		return noKey
	}
	if refused := x.readBody(index.Catalog.Limits.BodyBytes); refused != nil {
		return refused
	}
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline())
	defer cancel()
	x.service = h.Directory.PickService(x.route)
	x.wish = x.newWish(index.Service(x.service))
	x.lastEvent = x.ask.LastEventID
	h.RetryBudgets.Earn(x.service)
	h.MoveBudgets.Earn(x.service)
	return x.run(ctx)
}

// deadline returns when the caller has to have its answer.
func (x *exchange) deadline() time.Time {
	wait := x.route.Timeout
	if x.ask.Timeout > 0 {
		wait = min(wait, x.ask.Timeout-answerMargin)
	}
	return x.arrived.Add(wait)
}

func (x *exchange) newWish(s *catalog.Service) placement.Requirements {
	w := placement.Requirements{
		FailureDomain:    x.handler.Directory.FailureDomain,
		Generates:        x.route.Generates,
		Lane:             placement.LaneOf(x.view.Index, x.route, s),
		PromptTokens:     x.ask.Work.PromptTokens,
		FirstEventTarget: x.route.LatencyTarget,
	}
	if w.Generates {
		w.SharedPrefixKey = x.ask.Work.SharedPrefixKey()
		w.SharedPrefixTokens = x.ask.Work.SharedPrefixTokens()
	}
	return w
}

func (x *exchange) readBody(limit int64) *refusal {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.request.ContentLength > limit {
		return bodyTooLarge
	}
	if x.request.ContentLength == 0 {
		return nil
	}
	reader := http.MaxBytesReader(x.writer, x.request.Body, limit)
	var err error
	if n := x.request.ContentLength; n > 0 {
		x.body = make([]byte, n)
		_, err = io.ReadFull(reader, x.body)
	} else {
		x.body, err = io.ReadAll(reader)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge
	case err != nil:
		return bodyBroken
	}
	return nil
}

// count tells the meter, once, that the request began to run.
func (x *exchange) count() {
	if x.counted || x.account == nil {
		return
	}
	x.counted = true
	key := usage.Key{ClientAccount: x.account.Name, ServiceClass: x.route.Name, Model: x.service}
	work := usage.Work{Requests: 1}
	if x.route.Generates {
		work.PromptTokens = uint64(x.ask.Work.PromptTokens)
	}
	x.handler.Meter.Add(key, work, usage.Price{})
}

func (x *exchange) refuse(r *refusal) {
	x.status, x.outcome = r.status, r.reason
	h := x.writer.Header()
	x.handler.Wire.SetRequestID(h, x.ask.AttemptID)
	if r.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	x.writer.WriteHeader(r.status)
	_, _ = io.WriteString(x.writer, r.reason+"\n") // a caller that has left needs no answer
}

// report logs and counts what became of the request.
func (x *exchange) report() {
	now := time.Now()
	x.handler.Metrics.finished(x, now.Sub(x.arrived))
	entry := x.handler.Logger.WithFields(x.fields(now))
	if x.outcome == outcomeServed {
		entry.Info("request served")
		return
	}
	entry.Warn("request not served")
}

func (x *exchange) fields(now time.Time) logrus.Fields {
	f := logrus.Fields{
		"request-id": x.ask.AttemptID,
		"status":     x.status,
		"outcome":    x.outcome,
		"took-ms":    now.Sub(x.arrived).Milliseconds(),
		"may-run":    x.ran,
	}
	if x.view != nil {
		f["revision"] = x.view.Index.Catalog.Revision
		f["revision-age-ms"] = now.Sub(x.view.Since).Milliseconds()
	}
	if x.route != nil {
		f["route"] = x.route.Name
		f["wait-ms"] = x.ask.Timeout.Milliseconds()
	}
	if x.account != nil {
		f["client-account"] = x.account.Name
	}
	if len(x.attempts) > 0 {
		f["attempts"] = attemptList(x.attempts)
	}
	if x.events > 0 {
		f["events"] = x.events
	}
	return f
}

// attemptList renders attempts in a log line, as
// server/domain running reading result first-ms.
func attemptList(attempts []attempt) []string {
	list := make([]string, len(attempts))
	for i, a := range attempts {
		list[i] = a.server + "/" + a.domain +
			" running=" + strconv.Itoa(a.running) + " reading=" + strconv.Itoa(a.reading) +
			" " + a.result + " first-ms=" + strconv.FormatInt(a.first.Milliseconds(), 10)
	}
	return list
}
