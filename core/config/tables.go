package config

import (
	"time"

	"acaciapath.example/core/ini"
	"acaciapath.example/core/value"
)

// Names of the section kinds.
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
	// maxCount bounds counts that the router does not bound otherwise.
	maxCount = 1_000_000_000
	// maxSlots is the maximum number of requests that a backend server runs
	// concurrently.
	maxSlots = 100_000
)

var serviceClassKind = ini.SectionKind[ServiceClass]{
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
			Help:    "Time to the first token that 95 % of the requests should meet.",
			Binding: ini.Bind(func(c *ServiceClass) *time.Duration { return &c.FirstTokenTarget }, value.Duration(time.Millisecond, 7*day)),
		},
		{
			Name: "inter-token-target", Default: "100ms",
			Help:    "Time between tokens that 95 % of the requests should meet.",
			Binding: ini.Bind(func(c *ServiceClass) *time.Duration { return &c.InterTokenTarget }, value.Duration(time.Millisecond, time.Hour)),
		},
		{
			Name: "max-wait", Required: true,
			Help:    "How long a request may wait for a slot of a backend server before it is rejected; at least `first-token-target`.",
			Binding: ini.Bind(func(c *ServiceClass) *time.Duration { return &c.MaxWait }, value.Duration(time.Millisecond, 7*day)),
		},
		{
			Name: "queue-limit", Default: "1000",
			Help:    "Maximum number of requests of the class that wait in one entry daemon.",
			Binding: ini.Bind(func(c *ServiceClass) *int { return &c.QueueLimit }, value.Int(1, 1_000_000)),
		},
		{
			Name: "prompt-price", Required: true,
			Help:    "Price of a million prompt tokens.",
			Binding: ini.Bind(func(c *ServiceClass) *int64 { return &c.PromptPriceMicros }, priceParser(perMillionTokens)),
		},
		{
			Name: "completion-price", Required: true,
			Help:    "Price of a million generated tokens.",
			Binding: ini.Bind(func(c *ServiceClass) *int64 { return &c.CompletionPriceMicros }, priceParser(perMillionTokens)),
		},
		{
			Name: "cheap-servers", Default: "false",
			Help:    "Whether the requests of the class may run on cheap backend servers, which the platform can evict on a few seconds' notice.",
			Binding: ini.Bind(func(c *ServiceClass) *bool { return &c.AllowCheapServers }, value.Bool()),
		},
	},
}

var clientAccountKind = ini.SectionKind[ClientAccount]{
	Name:       sectionClientAccount,
	Help:       "An account that sends requests and is billed for the usage.",
	NameParser: value.Name(),
	SetName:    func(a *ClientAccount, name string) { a.Name = name },
	Settings: []ini.Setting[ClientAccount]{
		{
			Name: "classes", Required: true, RefersTo: sectionServiceClass,
			Help:    "Service classes that the account has bought.",
			Binding: ini.Bind(func(a *ClientAccount) *[]string { return &a.Classes }, value.List(value.Name())),
		},
		{
			Name: "requests-per-minute", Default: "0",
			Help:    "Limit of the rate of requests; 0 means no limit.",
			Binding: ini.Bind(func(a *ClientAccount) *int { return &a.RequestsPerMinute }, value.Int(0, maxCount)),
		},
		{
			Name: "tokens-per-minute", Default: "0",
			Help:    "Limit of the rate of prompt and generated tokens together; 0 means no limit.",
			Binding: ini.Bind(func(a *ClientAccount) *int { return &a.TokensPerMinute }, value.Int(0, maxCount)),
		},
		{
			Name: "concurrent-requests", Default: "0",
			Help:    "Limit of the number of waiting and running requests; 0 means no limit.",
			Binding: ini.Bind(func(a *ClientAccount) *int { return &a.ConcurrentRequests }, value.Int(0, maxCount)),
		},
	},
}

var keyKind = ini.SectionKind[Key]{
	Name:       sectionKey,
	Help:       "An API key of a client account. The section contains only its hash; `acaciapath keys issue` creates the section.",
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
			Binding: ini.Bind(func(k *Key) *[32]byte { return &k.Hash }, hashParser()),
		},
		{
			Name: "default-class", Required: true, RefersTo: sectionServiceClass,
			Help:    "Service class of requests that do not name one; the client account must have bought it.",
			Binding: ini.Bind(func(k *Key) *string { return &k.DefaultClass }, value.Name()),
		},
		{
			Name: "withdrawn", Default: "false",
			Help:    "Whether the key has been withdrawn.",
			Binding: ini.Bind(func(k *Key) *bool { return &k.Withdrawn }, value.Bool()),
		},
	},
}

var modelKind = ini.SectionKind[Model]{
	Name:       sectionModel,
	Help:       "A language model that callers can use.",
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
			Help:    "Maximum number of tokens of an answer; at most `context-tokens`.",
			Binding: ini.Bind(func(m *Model) *int { return &m.MaxCompletionTokens }, value.Int(1, 100_000_000)),
		},
	},
}

var failureDomainKind = ini.SectionKind[FailureDomain]{
	Name:       sectionFailureDomain,
	Help:       "A part of a region that can fail as a whole.",
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
