package config

import (
	"time"

	"acaciapath.example/core/ini"
	"acaciapath.example/core/value"
)

// Kinds of sections.
const (
	sectionServiceClass  = "service-class"
	sectionClientAccount = "client-account"
	sectionKey           = "key"
	sectionModel         = "model"
	sectionFailureDomain = "failure-domain"
	sectionBackendServer = "backend-server"
	sectionPool          = "pool"
	sectionPlainService  = "plain-service"
	sectionRoute         = "route"
	sectionLimits        = "limits"
	sectionBilling       = "billing"
)

const (
	day = 24 * time.Hour
	// maxCount bounds counts for which the router sets no bound of its own.
	maxCount = 1_000_000_000
	// maxPlaces is the greatest number of requests that a backend server runs
	// at once.
	maxPlaces = 100_000
)

var serviceClasses = ini.SectionKind[ServiceClass]{
	Name:       sectionServiceClass,
	Help:       "A service level that client accounts buy.",
	NameParser: value.Name(),
	SetName:    func(c *ServiceClass, name string) { c.Name = name },
	Settings: []ini.Setting[ServiceClass]{
		{
			Name: "tier", Required: true,
			Help:    "Priority; 1 is the most urgent. No two classes have the same tier.",
			Binding: ini.Bind(func(c *ServiceClass) *int { return &c.Tier }, value.Int(1, 99)),
		},
		{
			Name: "first-token-target", Required: true,
			Help:    "Time to the first token that 95 in 100 requests are to meet.",
			Binding: ini.Bind(func(c *ServiceClass) *time.Duration { return &c.FirstTokenTarget }, value.Duration(time.Millisecond, 7*day)),
		},
		{
			Name: "inter-token-target", Default: "100ms",
			Help:    "Time between tokens that 95 in 100 requests are to meet.",
			Binding: ini.Bind(func(c *ServiceClass) *time.Duration { return &c.InterTokenTarget }, value.Duration(time.Millisecond, time.Hour)),
		},
		{
			Name: "max-wait", Required: true,
			Help:    "How long a request may wait for a place before it is refused; at least `first-token-target`.",
			Binding: ini.Bind(func(c *ServiceClass) *time.Duration { return &c.MaxWait }, value.Duration(time.Millisecond, 7*day)),
		},
		{
			Name: "queue-limit", Default: "1000",
			Help:    "Number of requests of the class that may wait in one entry daemon.",
			Binding: ini.Bind(func(c *ServiceClass) *int { return &c.QueueLimit }, value.Int(1, 1_000_000)),
		},
		{
			Name: "prompt-price", Required: true,
			Help:    "Price of a million prompt tokens.",
			Binding: ini.Bind(func(c *ServiceClass) *int64 { return &c.PromptPriceMicros }, price(perMillionTokens)),
		},
		{
			Name: "completion-price", Required: true,
			Help:    "Price of a million generated tokens.",
			Binding: ini.Bind(func(c *ServiceClass) *int64 { return &c.CompletionPriceMicros }, price(perMillionTokens)),
		},
		{
			Name: "cheap-servers", Default: "false",
			Help:    "Whether the class may run on cheap backend servers, which can vanish on a few seconds' notice.",
			Binding: ini.Bind(func(c *ServiceClass) *bool { return &c.AllowCheapServers }, value.Bool()),
		},
	},
}

var clientAccounts = ini.SectionKind[ClientAccount]{
	Name:       sectionClientAccount,
	Help:       "A customer that pays for what ran.",
	NameParser: value.Name(),
	SetName:    func(a *ClientAccount, name string) { a.Name = name },
	Settings: []ini.Setting[ClientAccount]{
		{
			Name: "classes", Required: true, RefersTo: sectionServiceClass,
			Help:    "Service classes that were bought.",
			Binding: ini.Bind(func(a *ClientAccount) *[]string { return &a.Classes }, value.List(value.Name())),
		},
		{
			Name: "requests-per-minute", Default: "0",
			Help:    "Limit of requests; 0 means no limit.",
			Binding: ini.Bind(func(a *ClientAccount) *int { return &a.RequestsPerMinute }, value.Int(0, maxCount)),
		},
		{
			Name: "tokens-per-minute", Default: "0",
			Help:    "Limit of prompt and generated tokens together; 0 means no limit.",
			Binding: ini.Bind(func(a *ClientAccount) *int { return &a.TokensPerMinute }, value.Int(0, maxCount)),
		},
		{
			Name: "concurrent-requests", Default: "0",
			Help:    "Limit of requests that wait or run at once; 0 means no limit.",
			Binding: ini.Bind(func(a *ClientAccount) *int { return &a.ConcurrentRequests }, value.Int(0, maxCount)),
		},
	},
}

var keys = ini.SectionKind[Key]{
	Name:       sectionKey,
	Help:       "An API key of a client account. Only its hash is written down; `acaciapath keys issue` makes the section.",
	NameParser: value.Name(),
	SetName:    func(k *Key, name string) { k.Name = name },
	Settings: []ini.Setting[Key]{
		{
			Name: "client-account", Required: true, RefersTo: sectionClientAccount,
			Help:    "Client account that the key belongs to.",
			Binding: ini.Bind(func(k *Key) *string { return &k.ClientAccount }, value.Name()),
		},
		{
			Name: "hash", Required: true,
			Help:    "Hash of the key, never the key itself. No two keys have the same hash.",
			Binding: ini.Bind(func(k *Key) *[32]byte { return &k.Hash }, hash()),
		},
		{
			Name: "default-class", Required: true, RefersTo: sectionServiceClass,
			Help:    "Service class of requests that ask for none; the client account has bought it.",
			Binding: ini.Bind(func(k *Key) *string { return &k.DefaultClass }, value.Name()),
		},
		{
			Name: "withdrawn", Default: "false",
			Help:    "Whether the key has been withdrawn.",
			Binding: ini.Bind(func(k *Key) *bool { return &k.Withdrawn }, value.Bool()),
		},
	},
}

var models = ini.SectionKind[Model]{
	Name:       sectionModel,
	Help:       "A language model that callers may ask for.",
	NameParser: value.ModelName(),
	SetName:    func(m *Model, name string) { m.Name = name },
	Settings: []ini.Setting[Model]{
		{
			Name: "context-tokens", Required: true,
			Help:    "Size of the context window in tokens.",
			Binding: ini.Bind(func(m *Model) *int { return &m.ContextTokens }, value.Int(1, 100_000_000)),
		},
		{
			Name: "max-completion-tokens", Required: true,
			Help:    "Greatest number of tokens of an answer; at most `context-tokens`.",
			Binding: ini.Bind(func(m *Model) *int { return &m.MaxCompletionTokens }, value.Int(1, 100_000_000)),
		},
	},
}

var failureDomains = ini.SectionKind[FailureDomain]{
	Name:       sectionFailureDomain,
	Help:       "A part of a region that fails as one.",
	NameParser: value.Name(),
	SetName:    func(d *FailureDomain, name string) { d.Name = name },
	Settings: []ini.Setting[FailureDomain]{
		{
			Name: "region", Required: true,
			Help:    "Region that the failure domain is in.",
			Binding: ini.Bind(func(d *FailureDomain) *string { return &d.Region }, value.Name()),
		},
	},
}
