package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"acaciapath.example/acaciad/crashreports"
	"acaciapath.example/acaciad/directory"
	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/acaciad/limitreports"
	"acaciapath.example/acaciad/origins"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/memory"
	"acaciapath.example/core/origin"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/quarantine"
	"acaciapath.example/core/usage"
	"acaciapath.example/core/workload"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// Limits of requests.
const (
	// deadlineMargin is the time between the answer of the daemon and the caller's
	// deadline, so that the answer arrives in time.
	deadlineMargin = 40 * time.Millisecond
	// defaultWait is the timeout of a request that states no deadline and whose
	// route is not known yet.
	defaultWait = 30 * time.Second
)

// Values of the Retry-After header of refusals.
const (
	// retryAfterNoCatalog is sent while the daemon has no catalog yet.
	retryAfterNoCatalog = 500 * time.Millisecond
	// retryAfterFailure is sent when no backend server accepted the request.
	retryAfterFailure = 300 * time.Millisecond
	// retryAfterOrigin is sent when the store cannot tell yet which version began a stream, or
	// the version has no server. Servers that crashed start again.
	retryAfterOrigin = 2 * time.Second
	// retryAfterHomes is sent when the failure domains in which a request may be executed are
	// evacuated or have no server.
	retryAfterHomes = 2 * time.Second
	// retryAfterNoMemory is sent when other bodies have the memory. Those that do not progress
	// are refused within about this time or a few times of it.
	retryAfterNoMemory = time.Second
	// minRetryAfterQuarantine is the least value while a request or a prompt part is
	// quarantined.
	minRetryAfterQuarantine = time.Second
)

// Handler serves the requests of callers. Its fields must not change once it
// serves.
type Handler struct {
	// Directory is the daemon's view of the catalog and of the backend servers.
	Directory *directory.Directory
	// Client sends requests to backend servers.
	Client *Client
	// Guard refuses requests that crash backend servers.
	Guard *crashreports.Guard
	// Limits reports the limits that backend servers name.
	Limits *limitreports.Sharer
	// Origins knows which versions of the backend servers began the streams that may be
	// taken up again.
	Origins *origins.Registry
	// EngineClient copies the KV cache of runs between model engines. It is nil if the
	// engines cannot do that.
	EngineClient *platform.EngineClient
	// Wire translates between the platform's headers and the daemon's types.
	Wire platform.HeaderCodec
	// Meter counts the usage of client accounts.
	Meter *usage.Meter
	// Metrics counts the outcomes of requests.
	Metrics *Metrics
	// Logger logs the outcomes of requests.
	Logger *logrus.Logger
	// Buffers limits the memory of bodies of requests and of large answers.
	Buffers *memory.Budget
	// RetryBudgets limit retries, by service.
	RetryBudgets *Budgets
	// MoveBudgets limit moves of runs to other engines, by service. The platform
	// counts each move as another attempt of its request.
	MoveBudgets *Budgets
	// Draining is done when the daemon begins to shut down.
	Draining context.Context
	// StreamsEnd is done once the daemon will stop too soon for another stream, and
	// RequestsEnd for any other request.
	StreamsEnd, RequestsEnd context.Context
	// Ending is done when the daemon is about to stop, and running requests get their final
	// answer.
	Ending context.Context
	// Path watches the own path to backend servers, Neighbours sends requests while that is cut
	// off, and Detours knows the backend servers that only neighbours reach. They may be nil.
	Path       Path
	Neighbours Neighbours
	Detours    *forwarding.Detours

	inProgress requestCount
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.inProgress.begin()()
	x := &exchange{
		handler:  h,
		writer:   w,
		request:  r,
		arrived:  time.Now(),
		metadata: h.Wire.ParseRequest(r.Header),
	}
	x.bodyUnread = r.ContentLength != 0
	x.body = &memory.Body{Budget: h.Buffers, MaxWait: maxBodyWait}
	defer x.body.Release()
	defer x.releaseParts()
	if h.Draining.Err() != nil {
		w.Header().Set("Connection", "close")
	}
	defer x.recordOutcome()
	if refused := x.serve(); refused != nil {
		x.refuse(refused)
	}
}

// refusal is an answer from the daemon itself, not from a backend server.
type refusal struct {
	status int
	// reason is the code of the refusal, which is also the body of the answer.
	reason string
	// retryAfter is when the caller may try again, or 0 to state nothing.
	retryAfter time.Duration
}

// Refusals that do not depend on the request.
var (
	unknownCatalog    = &refusal{status: http.StatusServiceUnavailable, reason: "catalog-unknown", retryAfter: retryAfterNoCatalog}
	unknownOrigin     = &refusal{status: http.StatusServiceUnavailable, reason: "stream-version-unknown"}
	originNotKnownYet = &refusal{status: http.StatusServiceUnavailable, reason: "stream-version-not-known-yet", retryAfter: retryAfterOrigin}
	noSuchVersion     = &refusal{status: http.StatusServiceUnavailable, reason: "stream-version-not-serving", retryAfter: retryAfterOrigin}
	shuttingDown      = &refusal{status: http.StatusServiceUnavailable, reason: "shutting-down", retryAfter: retryAfterFailure}
	unknownRoute      = &refusal{status: http.StatusNotFound, reason: "route-unknown"}
	unknownKey        = &refusal{status: http.StatusUnauthorized, reason: "key-unknown"}
	bodyTooLarge      = &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	bodyTooSlow       = &refusal{status: http.StatusRequestTimeout, reason: "body-too-slow"}
	bodyNoMemory      = &refusal{status: http.StatusServiceUnavailable, reason: "no-memory-for-body", retryAfter: retryAfterNoMemory}
	partsNoMemory     = &refusal{status: http.StatusServiceUnavailable, reason: "no-memory-for-prompt-parts", retryAfter: retryAfterNoMemory}
	bodyIncomplete    = &refusal{status: http.StatusBadRequest, reason: "body-incomplete"}
	outsideHomes      = &refusal{status: http.StatusServiceUnavailable, reason: "no-server-in-homes", retryAfter: retryAfterHomes}
	evacuatedHomes    = &refusal{status: http.StatusServiceUnavailable, reason: "evacuated", retryAfter: retryAfterHomes}
	noBackendServer   = &refusal{status: http.StatusServiceUnavailable, reason: "no-backend-server", retryAfter: retryAfterFailure}
	notRun            = &refusal{status: http.StatusServiceUnavailable, reason: "not-run", retryAfter: retryAfterFailure}
	mayHaveRun        = &refusal{status: http.StatusBadGateway, reason: "may-have-run"}
	timeoutMayHaveRun = &refusal{status: http.StatusGatewayTimeout, reason: "timeout"}
	endedMayHaveRun   = &refusal{status: http.StatusBadGateway, reason: "shut-down-may-have-run"}
	timeoutNotRun     = &refusal{status: http.StatusServiceUnavailable, reason: "timeout-not-run"}
)

// exchange is one request of a caller and its answer. It is not safe for
// concurrent use.
type exchange struct {
	handler  *Handler
	writer   http.ResponseWriter
	request  *http.Request
	arrived  time.Time
	metadata workload.Metadata

	view         *directory.View
	route        *catalog.Route
	account      *catalog.Account
	service      string
	requirements placement.Requirements
	// sharedParts are the parts of the prompt that other requests may share.
	sharedParts []quarantine.Part
	// wholeAndParts are the request itself and sharedParts. allParts sets it.
	wholeAndParts []quarantine.Part
	body          *memory.Body
	// bodyUnread states that the caller may still be sending the body.
	bodyUnread bool
	// partsMemory is the memory that was taken for the parts of the prompt, in bytes.
	partsMemory int64

	// mayHaveExecuted states that the request may have run on a backend server.
	mayHaveExecuted bool
	// lastFailure is the last error response of a backend server. It is sent to the
	// caller if no other backend server gives a better answer.
	lastFailure *bufferedAnswer
	// usageRecorded states that the meter has counted the request.
	usageRecorded bool
	// attempts lists the backend servers that the request was sent to, in order.
	attempts []attempt
	// streamSource is the reservation from which events arrived last.
	streamSource *directory.Reservation
	// moveTarget is where a moved run continues, and cacheCopy identifies the
	// copy of its KV cache there.
	moveTarget *directory.Reservation
	cacheCopy  platform.CacheCopy
	// runMove watches the run whose events are being forwarded.
	runMove *runMove
	// runProgress is the progress of the current run on a backend server.
	runProgress runProgress
	// transmission tells how the request of the current attempt was sent, and failedRuns is the
	// number of attempts that may have run and failed.
	transmission transmission
	failedRuns   int
	// keepsAttempt states that the current attempt must not be abandoned any more.
	keepsAttempt atomic.Bool
	// waited states that the request has waited for room at brittle servers.
	waited bool
	// stream identifies a stream that can be taken up again, and pickedService is the service
	// that was picked for it. It goes on at the service that began it.
	stream        origin.Stream
	pickedService string
	// origin is where the stream began or is to begin.
	origin origin.Origin
	// planned states that a new stream is to begin at plannedVersion, and receiving that the
	// caller has had an event of the stream, also from another daemon.
	planned, receiving bool
	plannedVersion     string
	// unreported states that the stream did not begin, because others cannot be told where.
	unreported bool
	// recorded states that the handler's Origins have a record of the stream.
	recorded bool
	// lastEventID is the id of the last complete event sent to the caller.
	lastEventID string
	// eventCount is the number of events sent to the caller.
	eventCount int
	// status and outcome describe the answer that the caller received; status is
	// 0 until its headers are sent.
	status  int
	outcome string
	// answerEnd tells what showed the end of the last answer of a backend server, for the log.
	answerEnd string
}

// serve validates the request and sends it to backend servers. It returns the
// refusal to answer with, or nil if the caller has its answer.
func (x *exchange) serve() *refusal {
	h := x.handler
	x.view = h.Directory.View()
	if x.view == nil {
		return unknownCatalog
	}
	index := x.view.Index
	x.route = index.Route(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		return unknownRoute
	}
	if x.metadata.APIKey != "" {
		x.account = index.AccountByKey(x.metadata.APIKey)
	}
	if index.RequiresKey(x.route) && x.account == nil {
		return unknownKey
	}
	if x.comesTooLate() {
		return shuttingDown
	}
	if refused := x.readBody(index.Catalog.Limits.BodyBytes); refused != nil {
		return refused
	}
	if refused := x.parseParts(); refused != nil {
		return refused
	}
	if x.comesTooLate() {
		return shuttingDown
	}
	x.limitWriting()
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline())
	defer cancel()
	defer context.AfterFunc(h.Ending, cancel)()
	x.service = x.pickService()
	refused := x.findOrigin(ctx)
	x.requirements = x.newRequirements(index.Service(x.service))
	if refused != nil {
		return refused
	}
	x.sharedParts = x.newSharedParts()
	if refused := x.checkQuarantine(); refused != nil {
		return refused
	}
	x.lastEventID = x.metadata.LastEventID
	h.RetryBudgets.Earn(x.service)
	h.MoveBudgets.Earn(x.service)
	return x.run(ctx)
}

// comesTooLate reports whether the daemon will stop too soon for the request.
func (x *exchange) comesTooLate() bool {
	return x.handler.RequestsEnd.Err() != nil || x.route.Kind == catalog.Stream && x.handler.StreamsEnd.Err() != nil
}

// deadline returns the time by which the answer must be sent.
func (x *exchange) deadline() time.Time {
	timeout := x.route.Timeout
	if x.metadata.Timeout > 0 {
		timeout = min(timeout, x.metadata.Timeout-deadlineMargin)
	}
	return x.arrived.Add(timeout)
}

// newRequirements returns what the request requires of a backend server of s.
func (x *exchange) newRequirements(s *catalog.Service) placement.Requirements {
	required := placement.Requirements{
		FailureDomain:    x.handler.Directory.FailureDomain,
		Generates:        x.route.Generates,
		Lane:             placement.LaneOf(x.view.Index, x.route, s),
		PromptTokens:     x.metadata.Work.PromptTokens,
		OutputTokens:     x.metadata.Work.ExpectedOutputTokens,
		FirstEventTarget: x.route.LatencyTarget,
		OnlyVersion:      x.planned || x.receiving,
		Priority:         x.view.Index.Priority(x.route, x.account),
		Version:          x.origin.Version,
	}
	if required.Generates {
		required.SharedPrefixKey = x.metadata.Work.SharedPrefixKey()
		required.SharedPrefixTokens = x.metadata.Work.SharedPrefixTokens()
	}
	return required
}

// recordUsage counts the request for its client account, once, when it is known
// to run.
func (x *exchange) recordUsage() {
	if x.usageRecorded || x.account == nil {
		return
	}
	x.usageRecorded = true
	key := usage.Key{ClientAccount: x.account.Name, ServiceClass: x.route.Name, Model: x.service}
	work := usage.Work{Requests: 1}
	if x.route.Generates {
		work.PromptTokens = uint64(x.metadata.Work.PromptTokens)
	}
	x.handler.Meter.Add(key, work, usage.Price{})
}

// refuse answers the request with a refusal.
func (x *exchange) refuse(r *refusal) {
	x.status, x.outcome = r.status, r.reason
	h := x.writer.Header()
	x.handler.Wire.SetRequestID(h, x.metadata.AttemptID)
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	x.endUnreadBody()
	x.writer.WriteHeader(r.status)
	_, _ = io.WriteString(x.writer, r.reason+"\n") // the caller may have disconnected
}

// recordOutcome logs and counts the outcome of the request.
func (x *exchange) recordOutcome() {
	now := time.Now()
	x.endStream(now)
	x.handler.Metrics.recordRequest(x, now.Sub(x.arrived))
	entry := x.handler.Logger.WithFields(x.logFields(now))
	if x.outcome == outcomeServed {
		entry.Info("request served")
		return
	}
	entry.Warn("request not served")
}
