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

// Handler is the handler of all requests of callers.
type Handler struct {
	// Access holds what is in force.
	Access *access.Manager
	// Chat serves the chat API, by the method and path of its endpoints.
	Chat http.Handler
	// IsChat reports whether Chat serves a method and path.
	IsChat func(method, path string) bool
	// Plain serves all else.
	Plain http.Handler
	// Metrics counts refusals.
	Metrics *metrics.Metrics
	// Logger logs refusals.
	Logger *logrus.Logger
	// Tracer makes the span of a request.
	Tracer trace.Tracer
	// Clock returns the present time.
	Clock func() time.Time
	// Random is the source of request ids. It is safe for concurrent use.
	Random io.Reader
	// ShuttingDown says whether callers are to connect elsewhere.
	ShuttingDown atomic.Bool
}

var _ http.Handler = (*Handler)(nil)

// response notes whether an answer has begun.
type response struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader begins the answer.
func (r *response) WriteHeader(status int) {
	r.begun = true
	r.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (r *response) Write(p []byte) (int, error) {
	r.begun = true
	return r.ResponseWriter.Write(p)
}

// Unwrap returns the writer that http.ResponseController is to use.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// ServeHTTP serves one request.
func (g *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &Exchange{
		ID:         newID(g.Random),
		Start:      g.Clock(),
		Snapshot:   g.Access.Load(),
		Controller: http.NewResponseController(w),
		Header:     w.Header(),
	}
	_ = x.Controller.SetWriteDeadline(time.Time{}) // one of the connection's last request may be left
	x.Header[engine.HeaderRequestID] = []string{x.ID}
	if g.ShuttingDown.Load() {
		x.Header["Connection"] = closeConnection
	}
	ctx, span := g.Tracer.Start(traceContext(r), "request", trace.WithSpanKind(trace.SpanKindServer))
	answer := &response{ResponseWriter: w}
	defer g.end(answer, x, span)
	r = r.WithContext(context.WithValue(ctx, exchangeKey{}, x))
	if refused := g.admit(x, w, r); refused != nil {
		g.Refuse(answer, x, refused)
		return
	}
	if g.IsChat(r.Method, r.URL.Path) {
		g.Chat.ServeHTTP(answer, r)
		return
	}
	g.Plain.ServeHTTP(answer, r)
}

// admit bounds what a request may send, or returns why it is refused.
func (g *Handler) admit(x *Exchange, w http.ResponseWriter, r *http.Request) *refusal.Refusal {
	if x.Snapshot == nil {
		return refusal.New(refusal.NotConfigured, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	if key := apikey.FromAuthorization(r.Header.Get("Authorization")); key != "" && strings.Contains(r.RequestURI, key) {
		return refusal.New(refusal.InvalidRequest, "the key must not stand in the URL")
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	x.unread = true
	limits := &x.Snapshot.Index.Config.Limits
	if r.ContentLength > limits.BodyBytes {
		return refusal.New(refusal.BodyTooLarge, "the body is larger than this service accepts")
	}
	r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	_ = x.Controller.SetReadDeadline(x.Start.Add(limits.BodyTimeout))
	return nil
}

// CheckBodyForKey returns the refusal of a body that holds the caller's own key, or nil.
func CheckBodyForKey(authorization string, body []byte) *refusal.Refusal {
	key := apikey.FromAuthorization(authorization)
	if key == "" || !bytes.Contains(body, []byte(key)) {
		return nil
	}
	return refusal.New(refusal.InvalidRequest, "the key must not stand in the body")
}

// Refuse answers with a refusal. The answer must not have begun.
func (g *Handler) Refuse(w http.ResponseWriter, x *Exchange, refused *refusal.Refusal) {
	x.refuse(refused)
	refused.Write(w, x.ID)
}

// end turns a panic into a refusal, ends the span and logs what became of the
// request.
func (g *Handler) end(w *response, x *Exchange, span trace.Span) {
	failure := recover()
	if failure != nil && failure != http.ErrAbortHandler { // net/http compares it so
		g.Logger.WithField(telemetry.FieldRequestID, x.ID).Errorf("panic: %v\n%s", failure, debug.Stack())
		g.abandon(w, x)
	}
	g.report(x, span)
	span.End()
	if failure == http.ErrAbortHandler || (failure != nil && x.Refusal == nil) { // as above
		panic(http.ErrAbortHandler)
	}
}

// abandon refuses a request whose handler failed, unless its answer has begun.
func (g *Handler) abandon(w *response, x *Exchange) {
	if w.begun {
		return
	}
	g.Refuse(w, x, refusal.NewMayHaveRun(refusal.Internal, "the entry daemon failed"))
}

// report adds to logs, metrics and the span what became of a request.
func (g *Handler) report(x *Exchange, span trace.Span) {
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

// fields returns the fields of the request's log lines.
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

// headerTraceState is dropped if it could carry a key.
const headerTraceState = "Tracestate"

// traceContext returns the request's context with the caller's trace.
func traceContext(r *http.Request) context.Context {
	if strings.Contains(r.Header.Get(headerTraceState), apikey.Prefix) {
		r.Header.Del(headerTraceState)
	}
	return telemetry.Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}
