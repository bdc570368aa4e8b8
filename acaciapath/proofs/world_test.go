package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/revision"
	standinengine "acaciapath.example/standin/engine"
	"acaciapath.example/standin/plain"
	"acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
)

const (
	// patience is a safety net for what is waited for.
	patience = 60 * time.Second
	// callTimeout bounds each call of the platform.
	callTimeout = 400 * time.Millisecond
	// leaseDuration is the duration of leases.
	leaseDuration = time.Second
	// domain is the failure domain of most daemons.
	domain = "quito-a"
)

// Keys of the client accounts shop and roofers.
const (
	shopKey    = "acacia_shop-key-0123456789"
	roofersKey = "acacia_roofers-key-0123456789"
)

// baseConfig is the configuration without backend servers.
const baseConfig = `
[service-class chat]
tier = 1
first-token-target = 900ms
max-wait = 20s
prompt-price = 1 USD/Mtok
completion-price = 2 USD/Mtok

[client-account shop]
classes = chat

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
context-tokens = 200000
max-completion-tokens = 100000

[failure-domain quito-a]
region = quito

[failure-domain guayaquil-a]
region = guayaquil

[plain-service orders]
call-price = 0.002 USD/call

[route orders]
path-prefix = /orders
plain-service = orders

[billing]
window = 1s
grace = 0s
`

// world is a platform with backend servers, around which daemons run.
type world struct {
	c        *qt.C
	platform *platform.Server
	engines  []*standinengine.Engine
	orders   *plain.Service
	servers  string
	revision uint64
	http     *http.Client
}

// newWorld starts a platform with a plain service and a number of engines, and
// applies a configuration of them.
func newWorld(t *testing.T, engines int, options standinengine.Options, extra string) *world {
	c := qt.New(t)
	w := &world{c: c, platform: platform.New(platform.Options{}), servers: extra}
	c.Assert(w.platform.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { _ = w.platform.Close() })
	transport := &http.Transport{DisableKeepAlives: true}
	w.http = &http.Client{Transport: transport, Timeout: patience}
	w.orders = plain.New(plain.Options{ExecutionTime: 2 * time.Millisecond})
	c.Assert(w.orders.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { _ = w.orders.Close() })
	w.addServer("orders-1", w.orders.Address(), "plain-service = orders", 32)
	for i := range engines {
		e := w.startEngine(options)
		w.engines = append(w.engines, e)
		w.addServer(fmt.Sprint("engine-", i+1), e.Address(), "models = assistant", 8)
	}
	w.apply("")
	return w
}

func (w *world) startEngine(options standinengine.Options) *standinengine.Engine {
	options.Models = []string{"assistant"}
	e := standinengine.New(options)
	w.c.Assert(e.Start("127.0.0.1:0"), qt.IsNil)
	w.c.Cleanup(func() { _ = e.Close() })
	return e
}

func (w *world) addServer(name, address, serves string, places int) {
	w.servers += fmt.Sprintf("\n[backend-server %s]\naddress = %s\nfailure-domain = quito-a\n%s\nplaces = %d\n",
		name, address, serves, places)
}

// files returns the files of a configuration.
func (w *world) files(more string) []config.File {
	shop, roofers := apikey.Hash(shopKey), apikey.Hash(roofersKey)
	base := fmt.Sprintf(baseConfig, shop[:], roofers[:])
	return []config.File{{Name: "a.ini", Text: base}, {Name: "b.ini", Text: w.servers}, {Name: "c.ini", Text: more}}
}

// apply applies the configuration with more in it.
func (w *world) apply(more string) {
	files := w.files(more)
	_, err := config.Parse(files)
	w.c.Assert(err, qt.IsNil)
	change := revision.Change{Base: w.revision, Files: files, Author: "test"}
	applied, err := revision.NewStore(w.platform.Client("operator")).Apply(context.Background(), change, time.Now())
	w.c.Assert(err, qt.IsNil)
	w.revision = applied.Meta.Revision
}

// port returns the address of the platform for one caller.
func (w *world) port(caller string) string {
	address, err := w.platform.StartFor(caller, "127.0.0.1:0")
	w.c.Assert(err, qt.IsNil)
	return address
}

// startEntry starts an entry daemon and waits until it is ready.
func (w *world) startEntry(name string) *process {
	p := startProcess(w.c, entry(name, w.port(name)))
	w.awaitReady(p)
	return p
}

func (w *world) awaitReady(p *process) {
	w.eventually(p.name+" is ready", func() bool {
		response, err := w.http.Get("http://" + p.Ops + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// list adds a VM with an entry daemon to the platform's list.
func (w *world) list(name, peerAddress string) {
	host, port, err := net.SplitHostPort(peerAddress)
	w.c.Assert(err, qt.IsNil)
	number, err := strconv.Atoi(port)
	w.c.Assert(err, qt.IsNil)
	w.platform.AddVM(vms.VM{Name: name, FailureDomain: domain, Address: host, PeerPort: number})
}

// status returns what a daemon tells of itself.
func (w *world) status(p *process) peer.Status {
	client := peer.NewClient(p.Peer, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	status, err := client.Status(ctx)
	w.c.Assert(err, qt.IsNil)
	return status
}

// eventually polls until the condition holds.
func (w *world) eventually(what string, condition func() bool) {
	w.c.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	w.c.Fatalf("not in time: %s", what)
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	// id is the request id.
	id string
	// err is why the answer is not whole.
	err error
}

// refusal returns the refusal that the answer is or ends with, or nil.
func (a answer) refusal() *refusal.BodyError {
	text := strings.TrimSpace(a.body)
	if i := strings.LastIndex(text, "data: "); i >= 0 {
		text = text[i+len("data: "):]
	}
	var body refusal.Body
	if json.Unmarshal([]byte(text), &body) != nil || body.Error.Code == "" {
		return nil
	}
	return &body.Error
}

// notRun reports whether the answer says that the request did not run.
func (a answer) notRun() bool {
	r := a.refusal()
	return r != nil && r.RunState == refusal.NotRun
}

// do sends a request and reads its answer.
func (w *world) do(p *process, path, key, body string, headers ...string) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.Callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := w.http.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(text), id: response.Header.Get(engine.HeaderRequestID), err: err}
}

// chat asks for an answer of n tokens to a prompt.
func (w *world) chat(p *process, key, prompt string, n int, stream bool) answer {
	return w.do(p, engine.PathChat, key, chatBody(prompt, n, stream))
}

func chatBody(prompt string, n int, stream bool) string {
	return fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":"%s [tokens=%d]"}],"stream":%t}`, prompt, n, stream)
}
