package chat

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"acaciapath.example/core/refusal"
	"acaciapath.example/core/usage"
	"acaciapath.example/entryd/backend"
	"acaciapath.example/entryd/caller"
	"acaciapath.example/entryd/gen/chat"
	chatserver "acaciapath.example/entryd/gen/http/chat/server"
	"acaciapath.example/entryd/metrics"
	"acaciapath.example/entryd/scheduler"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"
	goahttp "goa.design/goa/v3/http"
)

// Service serves the chat API. Its exported fields must be set before use and
// not changed afterwards.
type Service struct {
	// Scheduler assigns slots on engines.
	Scheduler scheduler.Acquirer
	// Client sends requests to engines.
	Client *backend.Client
	// Meter records the usage that is charged.
	Meter *usage.Meter
	// Metrics records the outcomes of requests.
	Metrics *metrics.Metrics
	// Logger is currently unused.
	Logger *logrus.Logger
	// Tracer creates spans.
	Tracer trace.Tracer
	// Clock returns the current time.
	Clock func() time.Time

	// background tracks the cancellations at engines that run in the
	// background.
	background sync.WaitGroup
}

var _ chat.Service = (*Service)(nil)

// Handler returns the HTTP handler of the service, and a function that reports
// whether the handler serves a method and path.
func (s *Service) Handler() (handler http.Handler, serves func(method, path string) bool) {
	mux := goahttp.NewMuxer()
	server := chatserver.New(chat.NewEndpoints(s), mux, goahttp.RequestDecoder, caller.Encoder, nil, caller.FormatError)
	server.Mount(mux)
	type mount struct{ method, path string }
	mounts := make(map[mount]bool, len(server.Mounts))
	for _, m := range server.Mounts {
		mounts[mount{method: m.Verb, path: m.Pattern}] = true
	}
	return mux, func(method, path string) bool { return mounts[mount{method: method, path: path}] }
}

// Wait returns once the usage of all requests has been charged. It must be
// called after the last request has ended.
func (s *Service) Wait() { s.background.Wait() }

// Models returns the configured models.
func (s *Service) Models(ctx context.Context, p *chat.ModelsPayload) (*chat.ModelList, error) {
	x := caller.FromContext(ctx)
	if refused := x.Authorize(p.Authorization, ""); refused != nil {
		return nil, refused
	}
	models := x.Snapshot.Index.Config.Models
	list := &chat.ModelList{Object: "list", Data: make([]*chat.Model, 0, len(models))}
	for i := range models {
		list.Data = append(list.Data, &chat.Model{ID: models[i].Name, Object: "model", OwnedBy: "acaciapath"})
	}
	return list, nil
}

// buffers is a pool for the bodies of requests and of answers that are not
// streamed, and for the text that is kept to resume a stream.
var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, initialBufferBytes)
	return &buffer
}}

// Sizes of buffers in bytes.
const (
	initialBufferBytes = 16 << 10
	// maxPooledBufferBytes is the capacity above which a buffer is not pooled,
	// so that a few large bodies do not stay in memory.
	maxPooledBufferBytes = 1 << 20
	// maxRewriteBytes is the most that Rewrite adds to a body.
	maxRewriteBytes = 128
)

func putBuffer(buffer *[]byte) {
	if cap(*buffer) > maxPooledBufferBytes {
		return
	}
	*buffer = (*buffer)[:0]
	buffers.Put(buffer)
}

// Completions answers a conversation. The request ends when the returned body
// is written or closed.
func (s *Service) Completions(ctx context.Context, p *chat.CompletionsPayload, body io.ReadCloser) (*chat.CompletionsResult, io.ReadCloser, error) {
	x := caller.FromContext(ctx)
	if refused := x.Authorize(p.Authorization, p.ServiceClass); refused != nil {
		return nil, nil, refused
	}
	text := buffers.Get().(*[]byte)
	defer putBuffer(text)
	var refused *refusal.Refusal
	if *text, refused = x.ReadBody(*text, body); refused != nil {
		return nil, nil, refused
	}
	if refused := caller.CheckBodyForKey(p.Authorization, *text); refused != nil {
		return nil, nil, refused
	}
	request, refused := Parse(*text)
	if refused != nil {
		return nil, nil, refused
	}
	answer, refused := s.answer(ctx, x, &request, *text)
	if refused != nil {
		return nil, nil, refused
	}
	return &chat.CompletionsResult{ContentType: answer.contentType}, answer, nil
}

// answer sends a request to an engine once it has a slot, and returns its
// answer once the answer has begun.
func (s *Service) answer(ctx context.Context, x *caller.Exchange, request *Request, text []byte) (*answer, *refusal.Refusal) {
	model := x.Snapshot.Index.Model(request.Model)
	if refused := request.CheckModel(model); refused != nil {
		return nil, refused
	}
	x.Model = model.Name
	body := make([]byte, 0, len(text)+maxRewriteBytes)
	r := &run{
		service:  s,
		exchange: x,
		request:  request,
		body:     request.Rewrite(body, text, x.Class.Tier, model.MaxCompletionTokens),
	}
	if r.maxTokens = request.MaxTokens; r.maxTokens == 0 {
		r.maxTokens = model.MaxCompletionTokens
	}
	r.ctx, r.cancel = x.Grant.BindContext(ctx)
	answer, refused := r.start()
	if refused != nil {
		r.cancel(nil)
		return nil, refused
	}
	return answer, nil
}
