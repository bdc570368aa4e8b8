package config

import (
	"time"

	"acaciapath.example/core/ini"
	"acaciapath.example/core/value"
)

var backendServerKind = ini.SectionKind[BackendServer]{
	Name:       sectionBackendServer,
	Help:       "A backend server that was not ordered through a pool. It has either `models` or `plain-service`.",
	NameParser: value.Name(),
	SetName:    func(b *BackendServer, name string) { b.Name = name },
	Settings: []ini.Setting[BackendServer]{
		{
			Name: "address", Required: true,
			Help:    "IP address and port on which it listens. No two backend servers have the same address.",
			Binding: ini.Bind(func(b *BackendServer) *string { return &b.Address }, value.AddrPort()),
		},
		{
			Name: "failure-domain", Required: true, RefersTo: sectionFailureDomain,
			Help:    "Failure domain that it runs in.",
			Binding: ini.Bind(func(b *BackendServer) *string { return &b.FailureDomain }, value.Name()),
		},
		{
			Name: "kind", Default: string(KindStandard),
			Help:    "How it was bought; the platform can evict `cheap` ones on a few seconds' notice.",
			Binding: ini.Bind(func(b *BackendServer) *ServerKind { return &b.Kind }, value.OneOf(KindStandard, KindCheap)),
		},
		{
			Name: "models", RefersTo: sectionModel,
			Help:    "Models that it serves.",
			Binding: ini.Bind(func(b *BackendServer) *[]string { return &b.Models }, value.List(value.ModelName())),
		},
		{
			Name: "plain-service", RefersTo: sectionPlainService,
			Help:    "Plain service of which it is a replica.",
			Binding: ini.Bind(func(b *BackendServer) *string { return &b.PlainService }, value.Name()),
		},
		{
			Name: "places", Required: true,
			Help:    "Number of slots; each running request occupies one.",
			Binding: ini.Bind(func(b *BackendServer) *int { return &b.Slots }, value.Int(1, maxSlots)),
		},
		{
			Name: "checks-fencing", Default: "false",
			Help:    "Whether it rejects an order whose fencing token is lower than one that it has seen.",
			Binding: ini.Bind(func(b *BackendServer) *bool { return &b.ChecksFencing }, value.Bool()),
		},
	},
}

var poolKind = ini.SectionKind[Pool]{
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
			Help:    "How they are bought; the platform can evict `cheap` ones on a few seconds' notice.",
			Binding: ini.Bind(func(p *Pool) *ServerKind { return &p.Kind }, value.OneOf(KindStandard, KindCheap)),
		},
		{
			Name: "min", Required: true,
			Help:    "Minimum number of backend servers; at most `max`.",
			Binding: ini.Bind(func(p *Pool) *int { return &p.Min }, value.Int(0, 10_000)),
		},
		{
			Name: "max", Required: true,
			Help:    "Maximum number of backend servers.",
			Binding: ini.Bind(func(p *Pool) *int { return &p.Max }, value.Int(1, 10_000)),
		},
		{
			Name: "places", Required: true,
			Help:    "Number of slots of each backend server; each running request occupies one.",
			Binding: ini.Bind(func(p *Pool) *int { return &p.Slots }, value.Int(1, maxSlots)),
		},
		{
			Name: "hour-price", Required: true,
			Help:    "Price of one backend server for an hour.",
			Binding: ini.Bind(func(p *Pool) *int64 { return &p.HourPriceMicros }, priceParser(perHour)),
		},
	},
}

var plainServiceKind = ini.SectionKind[PlainService]{
	Name:       sectionPlainService,
	Help:       "A service whose replicas are not model engines. The replicas are `[backend-server]` sections.",
	NameParser: value.Name(),
	SetName:    func(s *PlainService, name string) { s.Name = name },
	Settings: []ini.Setting[PlainService]{
		{
			Name: "checks-idempotency-key", Default: "false",
			Help:    "Whether the service itself ensures that it does not run two calls with the same idempotency key.",
			Binding: ini.Bind(func(s *PlainService) *bool { return &s.ChecksIdempotencyKey }, value.Bool()),
		},
		{
			Name: "call-price", Required: true,
			Help:    "Price of one call.",
			Binding: ini.Bind(func(s *PlainService) *int64 { return &s.CallPriceMicros }, priceParser(perCall)),
		},
	},
}

var routeKind = ini.SectionKind[Route]{
	Name:       sectionRoute,
	Help:       "Sends calls to a plain service. The longest matching path prefix wins; among equal ones, a route with a method wins.",
	NameParser: value.Name(),
	SetName:    func(r *Route, name string) { r.Name = name },
	Settings: []ini.Setting[Route]{
		{
			Name: "method", Default: methodAny,
			Help:    "HTTP method.",
			Binding: ini.Bind(func(r *Route) *string { return &r.Method }, methodParser()),
		},
		{
			Name: "path-prefix", Required: true,
			Help:    "Start of the path, in whole segments. No two routes have the same method and path prefix.",
			Binding: ini.Bind(func(r *Route) *string { return &r.PathPrefix }, pathPrefixParser()),
		},
		{
			Name: "plain-service", Required: true, RefersTo: sectionPlainService,
			Help:    "Plain service that the calls are sent to.",
			Binding: ini.Bind(func(r *Route) *string { return &r.PlainService }, value.Name()),
		},
		{
			Name: "access", Default: string(AccessKeyed),
			Help:    "Who may use the route: `keyed` requires an API key of a client account, `open` allows every caller.",
			Binding: ini.Bind(func(r *Route) *Access { return &r.Access }, value.OneOf(AccessKeyed, AccessOpen)),
		},
		{
			Name: "repeatable", Default: "false",
			Help:    "Whether a call that may have been run can be sent again.",
			Binding: ini.Bind(func(r *Route) *bool { return &r.Repeatable }, value.Bool()),
		},
		{
			Name: "timeout", Default: "30s",
			Help:    "Timeout of a call.",
			Binding: ini.Bind(func(r *Route) *time.Duration { return &r.Timeout }, value.Duration(time.Millisecond, day)),
		},
	},
}

var limitsKind = ini.SectionKind[Limits]{
	Name: sectionLimits,
	Help: "Bounds the resources of one entry daemon that callers can use. The section is optional.",
	Settings: []ini.Setting[Limits]{
		{
			Name: "body-bytes", Default: "1MiB",
			Help:    "Maximum size of a request body.",
			Binding: ini.Bind(func(l *Limits) *int64 { return &l.BodyBytes }, value.Size(1, 1<<30)),
		},
		{
			Name: "header-timeout", Default: "5s",
			Help:    "Timeout for reading the headers of a request.",
			Binding: ini.Bind(func(l *Limits) *time.Duration { return &l.HeaderTimeout }, value.Duration(time.Millisecond, time.Hour)),
		},
		{
			Name: "body-timeout", Default: "30s",
			Help:    "Timeout for reading the body of a request.",
			Binding: ini.Bind(func(l *Limits) *time.Duration { return &l.BodyTimeout }, value.Duration(time.Millisecond, time.Hour)),
		},
		{
			Name: "connections", Default: "10000",
			Help:    "Maximum number of callers' connections.",
			Binding: ini.Bind(func(l *Limits) *int { return &l.Connections }, value.Int(1, 1_000_000)),
		},
		{
			Name: "request-timeout", Default: "10m",
			Help:    "Timeout of a model request, from the time it gets a slot of a backend server.",
			Binding: ini.Bind(func(l *Limits) *time.Duration { return &l.RequestTimeout }, value.Duration(time.Millisecond, day)),
		},
		{
			Name: "retry-budget", Default: "10%",
			Help:    "Share of requests that may be retried.",
			Binding: ini.Bind(func(l *Limits) *int { return &l.RetryBudgetPercent }, value.Percent(0, 100)),
		},
	},
}

var billingKind = ini.SectionKind[Billing]{
	Name: sectionBilling,
	Help: "How usage is reported to the platform. The section is optional.",
	Settings: []ini.Setting[Billing]{
		{
			Name: "window", Default: "5m",
			Help:    "Length of a usage window.",
			Binding: ini.Bind(func(b *Billing) *time.Duration { return &b.Window }, value.Duration(time.Second, day)),
		},
		{
			Name: "grace", Default: "1m",
			Help:    "How long after the end of a window usage is still added to it.",
			Binding: ini.Bind(func(b *Billing) *time.Duration { return &b.Grace }, value.Duration(0, day)),
		},
		{
			Name: "currency", Default: "USD",
			Help:    "Currency of all prices.",
			Binding: ini.Bind(func(b *Billing) *string { return &b.Currency }, currencyParser()),
		},
	},
}
