package config

import (
	"time"

	"acaciapath.example/core/ini"
	"acaciapath.example/core/value"
)

var backendServers = ini.SectionKind[BackendServer]{
	Name:       sectionBackendServer,
	Help:       "A backend server that was not ordered through a pool. It has either `models` or `plain-service`.",
	NameParser: value.Name(),
	SetName:    func(b *BackendServer, name string) { b.Name = name },
	Settings: []ini.Setting[BackendServer]{
		{
			Name: "address", Required: true,
			Help:    "Where it listens. No two backend servers have the same address.",
			Binding: ini.Bind(func(b *BackendServer) *string { return &b.Address }, value.AddrPort()),
		},
		{
			Name: "failure-domain", Required: true, RefersTo: sectionFailureDomain,
			Help:    "Failure domain that it runs in.",
			Binding: ini.Bind(func(b *BackendServer) *string { return &b.FailureDomain }, value.Name()),
		},
		{
			Name: "kind", Default: string(KindStandard),
			Help:    "How it was bought; `cheap` ones can be taken away on a few seconds' notice.",
			Binding: ini.Bind(func(b *BackendServer) *ServerKind { return &b.Kind }, value.OneOf(KindStandard, KindCheap)),
		},
		{
			Name: "models", RefersTo: sectionModel,
			Help:    "Models that it serves.",
			Binding: ini.Bind(func(b *BackendServer) *[]string { return &b.Models }, value.List(value.ModelName())),
		},
		{
			Name: "plain-service", RefersTo: sectionPlainService,
			Help:    "Plain service that it is a replica of.",
			Binding: ini.Bind(func(b *BackendServer) *string { return &b.PlainService }, value.Name()),
		},
		{
			Name: "places", Required: true,
			Help:    "Number of requests that it runs at once.",
			Binding: ini.Bind(func(b *BackendServer) *int { return &b.Slots }, value.Int(1, maxPlaces)),
		},
		{
			Name: "checks-fencing", Default: "false",
			Help:    "Whether it refuses an order with an old fencing number.",
			Binding: ini.Bind(func(b *BackendServer) *bool { return &b.ChecksFencing }, value.Bool()),
		},
	},
}

var pools = ini.SectionKind[Pool]{
	Name:       sectionPool,
	Help:       "A set of backend servers of one model in one failure domain that the control daemon orders from the platform.",
	NameParser: value.Name(),
	SetName:    func(p *Pool, name string) { p.Name = name },
	Settings: []ini.Setting[Pool]{
		{
			Name: "model", Required: true, RefersTo: sectionModel,
			Help:    "Model that the backend servers load.",
			Binding: ini.Bind(func(p *Pool) *string { return &p.Model }, value.ModelName()),
		},
		{
			Name: "failure-domain", Required: true, RefersTo: sectionFailureDomain,
			Help:    "Failure domain that they run in.",
			Binding: ini.Bind(func(p *Pool) *string { return &p.FailureDomain }, value.Name()),
		},
		{
			Name: "kind", Default: string(KindStandard),
			Help:    "How they are bought; `cheap` ones can be taken away on a few seconds' notice.",
			Binding: ini.Bind(func(p *Pool) *ServerKind { return &p.Kind }, value.OneOf(KindStandard, KindCheap)),
		},
		{
			Name: "min", Required: true,
			Help:    "Least number of backend servers; at most `max`.",
			Binding: ini.Bind(func(p *Pool) *int { return &p.Min }, value.Int(0, 10_000)),
		},
		{
			Name: "max", Required: true,
			Help:    "Greatest number of backend servers.",
			Binding: ini.Bind(func(p *Pool) *int { return &p.Max }, value.Int(1, 10_000)),
		},
		{
			Name: "places", Required: true,
			Help:    "Number of requests that each runs at once.",
			Binding: ini.Bind(func(p *Pool) *int { return &p.Slots }, value.Int(1, maxPlaces)),
		},
		{
			Name: "hour-price", Required: true,
			Help:    "Price of one backend server for an hour.",
			Binding: ini.Bind(func(p *Pool) *int64 { return &p.HourPriceMicros }, price(perHour)),
		},
	},
}

var plainServices = ini.SectionKind[PlainService]{
	Name:       sectionPlainService,
	Help:       "A service that is not a model engine. Its replicas are `[backend-server]` sections.",
	NameParser: value.Name(),
	SetName:    func(s *PlainService, name string) { s.Name = name },
	Settings: []ini.Setting[PlainService]{
		{
			Name: "checks-idempotency-key", Default: "false",
			Help:    "Whether the service itself never runs two calls with the same idempotency key.",
			Binding: ini.Bind(func(s *PlainService) *bool { return &s.ChecksIdempotencyKey }, value.Bool()),
		},
		{
			Name: "call-price", Required: true,
			Help:    "Price of one call.",
			Binding: ini.Bind(func(s *PlainService) *int64 { return &s.CallPriceMicros }, price(perCall)),
		},
	},
}

var routes = ini.SectionKind[Route]{
	Name:       sectionRoute,
	Help:       "Sends calls to a plain service. The longest matching path prefix wins, then a route that names a method.",
	NameParser: value.Name(),
	SetName:    func(r *Route, name string) { r.Name = name },
	Settings: []ini.Setting[Route]{
		{
			Name: "method", Default: methodAny,
			Help:    "HTTP method.",
			Binding: ini.Bind(func(r *Route) *string { return &r.Method }, method()),
		},
		{
			Name: "path-prefix", Required: true,
			Help:    "Start of the path, in whole segments. No two routes have the same method and path prefix.",
			Binding: ini.Bind(func(r *Route) *string { return &r.PathPrefix }, pathPrefix()),
		},
		{
			Name: "plain-service", Required: true, RefersTo: sectionPlainService,
			Help:    "Plain service that runs the calls.",
			Binding: ini.Bind(func(r *Route) *string { return &r.PlainService }, value.Name()),
		},
		{
			Name: "access", Default: string(AccessKeyed),
			Help:    "Who may use the route: `keyed` requires a key of a client account, `open` lets every caller in.",
			Binding: ini.Bind(func(r *Route) *Access { return &r.Access }, value.OneOf(AccessKeyed, AccessOpen)),
		},
		{
			Name: "repeatable", Default: "false",
			Help:    "Whether a call that may have run may be sent again.",
			Binding: ini.Bind(func(r *Route) *bool { return &r.Repeatable }, value.Bool()),
		},
		{
			Name: "timeout", Default: "30s",
			Help:    "Bounds a call.",
			Binding: ini.Bind(func(r *Route) *time.Duration { return &r.Timeout }, value.Duration(time.Millisecond, day)),
		},
	},
}

var limits = ini.SectionKind[Limits]{
	Name: sectionLimits,
	Help: "Bounds what callers can take of one entry daemon. The section may be left out.",
	Settings: []ini.Setting[Limits]{
		{
			Name: "body-bytes", Default: "1MiB",
			Help:    "Greatest size of a request body.",
			Binding: ini.Bind(func(l *Limits) *int64 { return &l.BodyBytes }, value.Size(1, 1<<30)),
		},
		{
			Name: "header-timeout", Default: "5s",
			Help:    "Bounds the time to read a request's headers.",
			Binding: ini.Bind(func(l *Limits) *time.Duration { return &l.HeaderTimeout }, value.Duration(time.Millisecond, time.Hour)),
		},
		{
			Name: "body-timeout", Default: "30s",
			Help:    "Bounds the time to read a request's body.",
			Binding: ini.Bind(func(l *Limits) *time.Duration { return &l.BodyTimeout }, value.Duration(time.Millisecond, time.Hour)),
		},
		{
			Name: "connections", Default: "10000",
			Help:    "Number of callers' connections.",
			Binding: ini.Bind(func(l *Limits) *int { return &l.Connections }, value.Int(1, 1_000_000)),
		},
		{
			Name: "request-timeout", Default: "10m",
			Help:    "Bounds a model request after it got its place.",
			Binding: ini.Bind(func(l *Limits) *time.Duration { return &l.RequestTimeout }, value.Duration(time.Millisecond, day)),
		},
		{
			Name: "retry-budget", Default: "10%",
			Help:    "Share of requests that may be retried.",
			Binding: ini.Bind(func(l *Limits) *int { return &l.RetryBudgetPercent }, value.Percent(0, 100)),
		},
	},
}

var billing = ini.SectionKind[Billing]{
	Name: sectionBilling,
	Help: "Says how usage is reported to the platform. The section may be left out.",
	Settings: []ini.Setting[Billing]{
		{
			Name: "window", Default: "5m",
			Help:    "Length of a usage window.",
			Binding: ini.Bind(func(b *Billing) *time.Duration { return &b.Window }, value.Duration(time.Second, day)),
		},
		{
			Name: "grace", Default: "1m",
			Help:    "How long after its end a window still takes in figures.",
			Binding: ini.Bind(func(b *Billing) *time.Duration { return &b.Grace }, value.Duration(0, day)),
		},
		{
			Name: "currency", Default: "USD",
			Help:    "Currency of all prices.",
			Binding: ini.Bind(func(b *Billing) *string { return &b.Currency }, currency()),
		},
	},
}
