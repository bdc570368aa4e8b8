package capacity_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/engine"
	serversserver "acaciapath.example/core/gen/http/servers/server"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/limit"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/usage"
)

// The target deployment, and the budgets of one daemon for its control state and
// control messages in that deployment.
const (
	memoryBudgetBytes           = 32 << 20
	trafficBudgetBytesPerSecond = 7 << 10
	targetAccounts              = 47_000
	targetReplicas              = 720
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Numbers of objects at which the quantities are measured. Items are usage lines,
// cache events and waiting requests.
var (
	accountSizes = []int{10, 1_000, 47_000}
	replicaSizes = []int{10, 100, 720}
	itemSizes    = []int{10, 1_000, 10_000}
)

func measurements() []measurement {
	return []measurement{
		{
			name: "stored revision", unit: "bytes", per: "client account", exact: true,
			sizes: accountSizes, measure: bundleBytes, maxSlope: 128,
		},
		{
			name: "usage part", unit: "bytes", per: "line", exact: true,
			sizes: itemSizes, measure: partBytes, maxSlope: 256,
		},
		{
			name: "status", unit: "bytes", per: "backend server", exact: true,
			sizes: replicaSizes, measure: statusBytes, maxSlope: 256,
		},
		{
			name: "list of backend servers", unit: "bytes", per: "backend server", exact: true,
			sizes: replicaSizes, measure: listBytes, maxSlope: 512,
		},
		{
			name: "load report", unit: "bytes", per: "loaded model", exact: true,
			sizes: []int{1, 4, 26}, measure: loadBytes, maxSlope: 64,
		},
		{
			name: "cache events", unit: "bytes", per: "event", exact: true,
			sizes: itemSizes, measure: eventBytes, maxSlope: 128,
		},
		{
			name: "configuration in force", unit: "bytes of memory", per: "client account",
			sizes: accountSizes, measure: indexBytes, maxSlope: memoryBudgetBytes / targetAccounts,
		},
		{
			name: "limits", unit: "bytes of memory", per: "active client account",
			sizes: accountSizes, measure: limiterBytes, maxSlope: 256,
		},
		{
			name: "replicas of one model", unit: "bytes of memory", per: "replica",
			sizes: replicaSizes, measure: replicaBytes, maxSlope: memoryBudgetBytes / targetReplicas / 2,
		},
		{
			name: "queue", unit: "bytes of memory", per: "waiting request",
			sizes: itemSizes, measure: queueBytes, maxSlope: 1024,
		},
	}
}

const classes = `
[service-class chat]
tier = 1
first-token-target = 1.1s
inter-token-target = 46ms
max-wait = 10s
queue-limit = 100000
prompt-price = 0.40 USD/Mtok
completion-price = 1.20 USD/Mtok

[billing]
currency = USD
`

// configFiles returns the files of a configuration of n client accounts with one
// key each.
func configFiles(n int) []config.File {
	var accounts, keys strings.Builder
	for i := range n {
		name := fmt.Sprintf("account-%05d", i)
		fmt.Fprintf(&accounts, "[client-account %s]\nclasses = chat\nrequests-per-minute = 600\n\n", name)
		keys.WriteString(config.KeySection(config.Key{
			Name: name + "-1", ClientAccount: name, DefaultClass: "chat",
			Hash: apikey.Hash(string(binary.BigEndian.AppendUint64(nil, uint64(i)))),
		}) + "\n")
	}
	return []config.File{
		{Name: "10-classes.ini", Text: classes},
		{Name: "20-accounts.ini", Text: accounts.String()},
		{Name: "30-keys.ini", Text: keys.String()},
	}
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func jsonBytes(value any) int { return len(must(json.Marshal(value))) }

func bundleBytes(accounts int) int { return len(must(revision.Pack(configFiles(accounts))).Data) }

func indexBytes(accounts int) int {
	return heapBytes(func() any { return config.NewIndex(must(config.Parse(configFiles(accounts))), 1) })
}

func partBytes(lines int) int {
	part := usage.Part{}
	for i := range lines {
		part.Lines = append(part.Lines, usage.Line{
			Key:    usage.Key{ClientAccount: fmt.Sprintf("account-%05d", i), ServiceClass: "chat", Model: "assistant"},
			Work:   usage.Work{Requests: 10, PromptTokens: 10_000, CompletionTokens: 5_000},
			Amount: 10_000,
		})
	}
	return jsonBytes(part)
}

func statusBytes(servers int) int {
	s := peer.Status{}
	for i := range servers {
		s.BackendServers = append(s.BackendServers, peer.BackendServer{
			Name: fmt.Sprintf("engine-%04d", i), FailureDomain: "quito-a", Kind: "standard",
			Serves: []string{"assistant"}, Running: 12, Slots: 16, State: "ready",
		})
	}
	return jsonBytes(s)
}

func listBytes(count int) int {
	list := make([]*servers.BackendServer, count)
	for i := range list {
		list[i] = &servers.BackendServer{
			Name: fmt.Sprintf("server-%08d", i), OrderID: fmt.Sprintf("assistant-quito-a-%08d", i),
			FailureDomain: "quito-a", Kind: "standard", Model: "assistant", Address: "10.0.0.1:8000", State: "running",
		}
	}
	return jsonBytes(serversserver.NewListResponseBody(list))
}

func loadBytes(models int) int {
	load := engine.Load{At: now, Running: 12, Waiting: 3, Slots: 16, CacheUsedFraction: 0.875, Role: "decode"}
	for i := range models {
		load.Models = append(load.Models, fmt.Sprintf("model-%02d", i))
	}
	return jsonBytes(load)
}

func eventBytes(events int) int {
	e := engine.CacheEvents{}
	for i := range events {
		e.Events = append(e.Events, engine.CacheEvent{
			Seq: uint64(1_000_000 + i), At: now, Stored: true, PrefixHash: 0x9E3779B97F4A7C15 * uint64(i+1),
		})
	}
	return jsonBytes(e)
}

func limiterBytes(accounts int) int {
	clientAccounts := make([]config.ClientAccount, accounts)
	for i := range clientAccounts {
		clientAccounts[i] = config.ClientAccount{Name: fmt.Sprintf("account-%05d", i), RequestsPerMinute: 600}
	}
	return heapBytes(func() any {
		l := limit.New(1)
		for i := range clientAccounts {
			l.Acquire(&clientAccounts[i], now)
		}
		return l
	})
}

func newDispatcher(replicas int) *dispatch.Dispatcher[int] {
	d := dispatch.New[int]("quito-a", 10, rand.New(rand.NewPCG(1, 2)), now)
	specs := make([]replica.Spec, replicas)
	for i := range specs {
		specs[i] = replica.Spec{
			Name: fmt.Sprintf("engine-%04d", i), Address: "10.0.0.1:8000", FailureDomain: "quito-a",
			Serves: []string{"assistant"}, Kind: config.KindStandard, Slots: 16,
		}
	}
	d.SetReplicas(specs)
	return d
}

// replicaBytes returns the memory of replicas that each have 1000 cached prefixes.
func replicaBytes(replicas int) int {
	return heapBytes(func() any {
		d := newDispatcher(replicas)
		events := make([]engine.CacheEvent, 1000)
		for i := range events {
			events[i] = engine.CacheEvent{Stored: true, PrefixHash: uint64(i)}
		}
		for i := range replicas {
			d.ApplyCacheEvents(fmt.Sprintf("engine-%04d", i), events)
		}
		return d
	})
}

func queueBytes(requests int) int {
	class := &config.ServiceClass{Name: "letters", Tier: 3, MaxWait: time.Hour, QueueLimit: requests + 1}
	account := &config.ClientAccount{Name: "shop"}
	return heapBytes(func() any {
		d := newDispatcher(1)
		for i := range requests {
			r := dispatch.Request{Service: "assistant", Account: account, Class: class, Prefixes: []uint64{uint64(i)}}
			if _, rejection := d.Enqueue(r, i, now); rejection != nil {
				panic(rejection)
			}
		}
		return d
	})
}
