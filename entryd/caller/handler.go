package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/entryd/access"
	"acaciapath.example/entryd/metrics"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Handler handles all requests of callers.
type Handler struct {
	// Access holds the configuration in force and its grants.
	Access *access.Manager
	// Chat handles the requests for which IsChat returns true.
	Chat http.Handler
	// IsChat reports whether Chat handles a method and path.
	IsChat func(method, path string) bool
	// Plain handles all other requests.
	Plain http.Handler
	// Metrics counts refusals by code.
	Metrics *metrics.Metrics
	// Logger logs ended requests, refusals and panics.
	Logger *logrus.Logger
	// Tracer creates the span of a request.
	Tracer trace.Tracer
	// Clock returns the current time.
	Clock func() time.Time
	// Random is the source of request ids. It must be safe for concurrent use.
	Random io.Reader
	// ShuttingDown is true if callers are to reconnect to another entry daemon.
	ShuttingDown atomic.Bool
}

var _ http.Handler = (*Handler)(nil)

// answerWriter records whether the answer has started.
type answerWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader starts the answer.
func (r *answerWriter) WriteHeader(status int) {
	r.started = true
	r.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (r *answerWriter) Write(p []byte) (int, error) {
	r.started = true
	return r.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (r *answerWriter) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// ServeHTTP serves one request.
func (g *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &Exchange{
		ID:         newID(g.Random),
		Start:      g.Clock(),
		Snapshot:   g.Access.Load(),
		Controller: http.NewResponseController(w),
		Header:     w.Header(),
	}
	_ = x.Controller.SetWriteDeadline(time.Time{}) // remove the deadline of the previous request on the connection
	x.Header[engine.HeaderRequestID] = []string{x.ID}
	if g.ShuttingDown.Load() {
		x.Header["Connection"] = closeConnection
	}
	ctx, span := g.Tracer.Start(traceContext(r), "request", trace.WithSpanKind(trace.SpanKindServer))
	answer := &answerWriter{ResponseWriter: w}
	defer g.finish(answer, x, span)
	r = r.WithContext(context.WithValue(ctx, exchangeKey{}, x))
	if refused := g.checkRequest(x, w, r); refused != nil {
		g.Refuse(answer, x, refused)
		return
	}
	if g.IsChat(r.Method, r.URL.Path) {
		g.Chat.ServeHTTP(answer, r)
		return
	}
	g.Plain.ServeHTTP(answer, r)
}

// checkRequest limits the size and the duration of the request body, or returns
// why the request is refused.
func (g *Handler) checkRequest(x *Exchange, w http.ResponseWriter, r *http.Request) *refusal.Refusal {
	if x.Snapshot == nil {
		return refusal.New(refusal.NotConfigured, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	if key := apikey.FromAuthorization(r.Header.Get("Authorization")); key != "" && strings.Contains(r.RequestURI, key) {
		return refusal.New(refusal.InvalidRequest, "the key must not stand in the URL")
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	x.bodyUnread = true
	limits := &x.Snapshot.Index.Config.Limits
	if r.ContentLength > limits.BodyBytes {
		return refusal.New(refusal.BodyTooLarge, "the body is larger than this service accepts")
	}
	r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	_ = x.Controller.SetReadDeadline(x.Start.Add(limits.BodyTimeout))
	return nil
}

// CheckBodyForKey returns a refusal if the body contains the caller's own key,
// otherwise nil.
func CheckBodyForKey(authorization string, body []byte) *refusal.Refusal {
	key := apikey.FromAuthorization(authorization)
	if key == "" || !bytes.Contains(body, []byte(key)) {
		return nil
	}
	return refusal.New(refusal.InvalidRequest, "the key must not stand in the body")
}

// Refuse writes a refusal. The answer must not have started.
func (g *Handler) Refuse(w http.ResponseWriter, x *Exchange, refused *refusal.Refusal) {
	x.recordRefusal(refused)
	refused.Write(w, x.ID)
}

// finish converts a panic to a refusal, records the outcome of the request and
// ends the span.
func (g *Handler) finish(w *answerWriter, x *Exchange, span trace.Span) {
	panicValue := recover()
	if panicValue != nil && panicValue != http.ErrAbortHandler { // net/http compares this value with ==, too
		g.Logger.WithField(telemetry.FieldRequestID, x.ID).Errorf("panic while serving a request, refusing it or closing its connection: %v\n%s", panicValue, debug.Stack())
		g.refuseAfterPanic(w, x)
	}
	g.record(x, span)
	span.End()
	if panicValue == http.ErrAbortHandler || (panicValue != nil && x.Refusal == nil) { // compared as above
		panic(http.ErrAbortHandler)
	}
}

// refuseAfterPanic refuses a request whose handler panicked, unless its answer
// has started.
func (g *Handler) refuseAfterPanic(w *answerWriter, x *Exchange) {
	if w.started {
		return
	}
	g.Refuse(w, x, refusal.NewMayHaveRun(refusal.Internal, "the entry daemon failed"))
}

// record adds the outcome of a request to the log, the metrics and the span.
func (g *Handler) record(x *Exchange, span trace.Span) {
	if span.IsRecording() {
		span.SetAttributes(x.attributes()...)
	}
	level := logrus.DebugLevel
	if x.Refusal != nil {
		level = logrus.InfoLevel
		g.Metrics.CountRefusal(x.Refusal.Code)
		span.SetStatus(codes.Error, string(x.Refusal.Code))
	}
	if g.Logger.IsLevelEnabled(level) {
		g.Logger.WithFields(x.fields()).Log(level, "request ended")
	}
}

func (x *Exchange) attributes() []attribute.KeyValue {
	attributes := make([]attribute.KeyValue, 0, 5)
	attributes = append(attributes, attribute.String(telemetry.FieldRequestID, x.ID))
	if x.Grant != nil {
		attributes = append(attributes, attribute.String(telemetry.FieldClientAccount, x.Grant.Account.Name))
	}
	if x.Class != nil {
		attributes = append(attributes, attribute.String(telemetry.FieldServiceClass, x.Class.Name))
	}
	return append(attributes,
		attribute.String(telemetry.FieldModel, x.Model),
		attribute.String(telemetry.FieldBackendServer, x.BackendServer))
}

// fields returns the fields of the log line of the request.
func (x *Exchange) fields() logrus.Fields {
	f := logrus.Fields{
		telemetry.FieldRequestID:     x.ID,
		telemetry.FieldModel:         x.Model,
		telemetry.FieldBackendServer: x.BackendServer,
	}
	if x.Grant != nil {
		f[telemetry.FieldClientAccount] = x.Grant.Account.Name
		f[telemetry.FieldKeyName] = x.Grant.Key.Name
	}
	if x.Class != nil {
		f[telemetry.FieldServiceClass] = x.Class.Name
	}
	if x.Refusal != nil {
		f[telemetry.FieldCode] = string(x.Refusal.Code)
	}
	return f
}

// headerTraceState names a header that is dropped if it may contain a key.
const headerTraceState = "Tracestate"

// traceContext returns the request's context with the trace context that the
// caller sent.
func traceContext(r *http.Request) context.Context {
	if strings.Contains(r.Header.Get(headerTraceState), apikey.Prefix) {
		r.Header.Del(headerTraceState)
	}
	return telemetry.Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}
