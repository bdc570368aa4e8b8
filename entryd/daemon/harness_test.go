package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/usage"
	"acaciapath.example/entryd/daemon"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/loopback"
	"acaciapath.example/standin/plain"
	"acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// waitTimeout limits the polling of a condition.
const waitTimeout = 20 * time.Second

// Keys of the client accounts shop and roofers.
const (
	shopKey    = "acacia_shop-key-0123456789"
	roofersKey = "acacia_roofers-key-0123456789"
)

// baseConfig is the configuration of most tests, without backend servers.
const baseConfig = `
[service-class chat]
tier = 1
first-token-target = 900ms
max-wait = 10s
prompt-price = 1 USD/Mtok
completion-price = 2 USD/Mtok

[service-class letters]
tier = 2
first-token-target = 1m
max-wait = 1h
prompt-price = 1 USD/Mtok
completion-price = 1 USD/Mtok

[client-account shop]
classes = chat, letters

[client-account roofers]
classes = chat

[key shop-1]
client-account = shop
hash = %x
default-class = chat

[key roofers-1]
client-account = roofers
hash = %x
default-class = chat

[model assistant]
context-tokens = 8000
max-completion-tokens = 2000

[failure-domain quito-a]
region = quito

[plain-service orders]
call-price = 0.002 USD/call

[plain-service ledger]
call-price = 0.002 USD/call
checks-idempotency-key = true

[route orders]
path-prefix = /orders
plain-service = orders

[route ledger]
path-prefix = /ledger
plain-service = ledger

[route status]
path-prefix = /status
plain-service = orders
repeatable = true

[route open]
method = GET
path-prefix = /open
plain-service = orders
access = open
repeatable = true

[billing]
window = 1m
currency = USD
`

// system consists of a platform, backend servers and one entry daemon.
type system struct {
	c           *qt.C
	platform    *platform.Server
	engines     []*engine.Engine
	orders      *plain.Service
	ledger      *plain.Service
	daemon      *daemon.Daemon
	logs        *lockedBuffer
	revision    uint64
	extraConfig string

	stop context.CancelFunc
	// ended is closed once Run of the daemon has returned err.
	ended chan struct{}
	err   error
}

// systemOptions describes the differences from a system with one engine and the
// base configuration.
type systemOptions struct {
	engines     []engine.Options
	orders      plain.Options
	extraConfig string
	settings    func(*settings.Settings)
	options     daemon.Options
	// closesServers is true if the test closes an engine or the orders service.
	// Their ports are then chosen so that no other process listens on them
	// afterwards.
	closesServers bool
}

// address returns the address on which an engine or the orders service is
// started.
func (p systemOptions) address(c *qt.C) string {
	if !p.closesServers {
		return "127.0.0.1:0"
	}
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

// start starts a system that is stopped when the test ends.
func start(t testing.TB, p systemOptions) *system {
	c := qt.New(t)
	s := &system{c: c, platform: platform.New(platform.Options{}), extraConfig: p.extraConfig, logs: &lockedBuffer{}}
	c.Assert(s.platform.Start("127.0.0.1:0"), qt.IsNil)
	t.Cleanup(func() { _ = s.platform.Close() })
	if p.engines == nil {
		p.engines = []engine.Options{{}}
	}
	for i, options := range p.engines {
		options.Name = fmt.Sprint("engine-", i+1)
		options.Models = []string{"assistant"}
		if options.StepTime == 0 {
			options.StepTime = time.Millisecond
		}
		e := engine.New(options)
		c.Assert(e.Start(p.address(c)), qt.IsNil)
		t.Cleanup(func() { _ = e.Close() })
		s.engines = append(s.engines, e)
	}
	s.orders = startPlain(t, p.address(c), p.orders)
	s.ledger = startPlain(t, "127.0.0.1:0", plain.Options{ChecksIdempotency: true})
	s.applyConfig("")
	s.daemon = s.startDaemon(t, "vm-1", p)
	return s
}

func startPlain(t testing.TB, address string, options plain.Options) *plain.Service {
	service := plain.New(options)
	qt.Assert(t, service.Start(address), qt.IsNil)
	t.Cleanup(func() { _ = service.Close() })
	return service
}

// startDaemon starts a daemon and waits until it is ready.
func (s *system) startDaemon(t testing.TB, name string, p systemOptions) *daemon.Daemon {
	d := s.launchDaemon(t, name, p)
	s.eventually(func() bool { return d.Ready() == nil })
	return d
}

// launchDaemon starts a daemon without waiting until it is ready.
func (s *system) launchDaemon(t testing.TB, name string, p systemOptions) *daemon.Daemon {
	own := settings.Settings{
		VMName: name, FailureDomain: "quito-a", ListenIP: "127.0.0.1",
		ConfigPollInterval: 20 * time.Millisecond, DrainTimeout: waitTimeout,
	}
	if p.settings != nil {
		p.settings(&own)
	}
	logger := logrus.New()
	logger.SetOutput(s.logs)
	logger.SetLevel(logrus.DebugLevel)
	d, err := daemon.New(own, s.platform.Client(name), logger, p.options)
	s.c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err := d.Run(ctx)
		if name == "vm-1" {
			s.err = err
		}
	}()
	if name == "vm-1" {
		s.stop, s.ended = stop, ended
	}
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return d
}

// applyConfig applies the base configuration, the extra configuration of the
// test, and more.
func (s *system) applyConfig(more string) {
	shop, roofers := apikey.Hash(shopKey), apikey.Hash(roofersKey)
	text := fmt.Sprintf(baseConfig, shop[:], roofers[:])
	for i, e := range s.engines {
		text += fmt.Sprintf("\n[backend-server engine-%d]\naddress = %s\nfailure-domain = quito-a\nmodels = assistant\nplaces = 8\n", i+1, e.Address())
	}
	text += fmt.Sprintf("\n[backend-server orders-1]\naddress = %s\nfailure-domain = quito-a\nplain-service = orders\nplaces = 8\n", s.orders.Address())
	text += fmt.Sprintf("\n[backend-server ledger-1]\naddress = %s\nfailure-domain = quito-a\nplain-service = ledger\nplaces = 8\n", s.ledger.Address())
	files := []config.File{{Name: "a.ini", Text: text}, {Name: "b.ini", Text: s.extraConfig}, {Name: "c.ini", Text: more}}
	_, err := config.Parse(files)
	s.c.Assert(err, qt.IsNil)
	store := revision.NewStore(s.platform.Client("operator"))
	change := revision.Change{Base: s.revision, Files: files, Author: "test"}
	applied, err := store.Apply(context.Background(), change, time.Now())
	s.c.Assert(err, qt.IsNil)
	s.revision = applied.Meta.Revision
}

// eventually waits until the condition holds and fails the test after
// waitTimeout.
func (s *system) eventually(condition func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.c.Fatalf("condition not met within the time limit; logs:\n%s", s.logs.String())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// request returns a request with the given key and headers, which alternate
// names and values.
func (s *system) request(method, path, key, body string, headers ...string) *http.Request {
	r, err := http.NewRequest(method, "http://"+s.daemon.CallersAddress()+path, strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// answer is an answer that has been read completely.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends a request and reads its answer completely.
func (s *system) do(r *http.Request) answer {
	response, err := http.DefaultClient.Do(r)
	s.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// chatBody returns the body of a chat request whose answer has n tokens.
func chatBody(n int, stream bool) string {
	return fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":"socks [tokens=%d]"}],"stream":%t}`, n, stream)
}

// chargedUsage returns the usage that has been written to the platform's table.
func (s *system) chargedUsage() []usage.Line {
	var lists [][]usage.Line
	for _, row := range s.rows("usage/part/") {
		part := decode[usage.Part](s.c, row)
		lists = append(lists, part.Lines)
	}
	return usage.Sum(lists...)
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
