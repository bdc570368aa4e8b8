package plain

import (
	"context"
	"net/http"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/usage"
	"acaciapath.example/entryd/backend"
	"acaciapath.example/entryd/caller"
	"acaciapath.example/entryd/claims"
	"acaciapath.example/entryd/metrics"
	"acaciapath.example/entryd/scheduler"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"
)

// openTier is the tier of calls on open routes. It is less urgent than the tier
// of every service class.
const openTier = 100

// openQueueLimit is the number of calls on open routes that may wait.
const openQueueLimit = 1000

// openAccount is the client account of calls on open routes, which are not
// charged.
var openAccount = &config.ClientAccount{}

// Handler serves the routes to plain services. Its fields must be set before
// use and not changed afterwards.
type Handler struct {
	// Scheduler assigns slots on the services' replicas.
	Scheduler scheduler.Acquirer
	// Client sends requests to the replicas.
	Client *backend.Client
	// Claims stores the claims of calls that may run at most once.
	Claims *claims.Store
	// Meter records the usage that is charged.
	Meter *usage.Meter
	// Metrics records the outcomes of calls.
	Metrics *metrics.Metrics
	// Logger logs failed writes to claims.
	Logger *logrus.Logger
	// Tracer creates spans.
	Tracer trace.Tracer
	// Refuse writes a refusal as the answer.
	Refuse func(w http.ResponseWriter, x *caller.Exchange, refused *refusal.Refusal)
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := caller.FromContext(r.Context())
	if refused := h.serve(w, r, x); refused != nil {
		h.Refuse(w, x, refused)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, x *caller.Exchange) *refusal.Refusal {
	c, refused := h.newCall(w, r, x)
	if refused != nil {
		return refused
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if x.Grant != nil {
		ctx, cancel = x.Grant.BindContext(r.Context())
		defer cancel(nil)
	}
	if c.route.Repeatable {
		return c.serveRepeatable(ctx)
	}
	return c.serveOnce(ctx)
}

// newCall finds the route of a call, authorizes its caller and reads its body.
func (h *Handler) newCall(w http.ResponseWriter, r *http.Request, x *caller.Exchange) (*call, *refusal.Refusal) {
	route := x.Snapshot.Index.Route(r.Method, r.URL.Path)
	if route == nil {
		return nil, refusal.New(refusal.RouteUnknown, "no route takes this method and path")
	}
	service := x.Snapshot.Index.PlainService(route.PlainService)
	if service == nil {
		return nil, refusal.New(refusal.RouteUnknown, "the route's plain service is not configured")
	}
	c := &call{handler: h, writer: w, request: r, exchange: x, route: route, service: service}
	x.Model = service.Name
	if refused := c.authorize(); refused != nil {
		return nil, refused
	}
	if refused := c.checkIdempotencyKey(); refused != nil {
		return nil, refused
	}
	var refused *refusal.Refusal
	if c.body, refused = x.ReadBody(nil, r.Body); refused != nil {
		return nil, refused
	}
	return c, caller.CheckBodyForKey(r.Header.Get("Authorization"), c.body)
}

// authorize determines the client account and the service class of the call.
func (c *call) authorize() *refusal.Refusal {
	if c.route.Access == config.AccessKeyed {
		h := c.request.Header
		refused := c.exchange.Authorize(h.Get("Authorization"), h.Get("X-Service-Class"))
		if refused == nil {
			c.account, c.class = c.exchange.Grant.Account, c.exchange.Class
		}
		return refused
	}
	c.account = openAccount
	c.class = &config.ServiceClass{
		Name:              "open",
		Tier:              openTier,
		FirstTokenTarget:  c.route.Timeout,
		MaxWait:           c.route.Timeout,
		QueueLimit:        openQueueLimit,
		AllowCheapServers: c.route.Repeatable,
	}
	return nil
}

// charge adds an executed call to the meter. Calls on open routes are free.
func (c *call) charge() {
	if c.account == openAccount {
		return
	}
	key := usage.Key{ClientAccount: c.account.Name, ServiceClass: c.class.Name, Model: c.service.Name}
	c.handler.Meter.Add(key, usage.Work{Requests: 1}, usage.Price{Call: c.service.CallPriceMicros})
}

// retryAfter is when a caller may repeat a call after a temporary failure.
const retryAfter = time.Second
