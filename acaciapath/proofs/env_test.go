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
	// maxWait is the maximum time to wait for a condition, a call or a process in a test.
	maxWait = 60 * time.Second
	// callTimeout is the timeout of each call to the platform.
	callTimeout = 400 * time.Millisecond
	// leaseDuration is the duration of the leases.
	leaseDuration = time.Second
	// domain is the failure domain of most daemons.
	domain = "quito-a"
)

// API keys of the client accounts shop and roofers.
const (
	shopKey    = "acacia_shop-key-0123456789"
	roofersKey = "acacia_roofers-key-0123456789"
)

// baseConfig is the configuration without backend servers. It contains two format verbs for
// the hashes of the keys.
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

// testEnv is a stand-in platform with backend servers, to which daemons connect.
type testEnv struct {
	c        *qt.C
	platform *platform.Server
	engines  []*standinengine.Engine
	orders   *plain.Service
	// serversConfig declares the backend servers and includes the extra configuration that
	// was passed to newTestEnv.
	serversConfig string
	// revision is the number of the newest revision that the test applied.
	revision uint64
	http     *http.Client
}

// newTestEnv starts a platform, a plain service and the given number of engines, and applies a
// configuration with them. extra is added to the configuration.
func newTestEnv(t *testing.T, engines int, options standinengine.Options, extra string) *testEnv {
	c := qt.New(t)
	env := &testEnv{c: c, platform: platform.New(platform.Options{}), serversConfig: extra}
	c.Assert(env.platform.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { _ = env.platform.Close() })
	transport := &http.Transport{DisableKeepAlives: true}
	env.http = &http.Client{Transport: transport, Timeout: maxWait}
	env.orders = plain.New(plain.Options{ExecutionTime: 2 * time.Millisecond})
	c.Assert(env.orders.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { _ = env.orders.Close() })
	env.addServer("orders-1", env.orders.Address(), "plain-service = orders", 32)
	for i := range engines {
		e := env.startEngine(options)
		env.engines = append(env.engines, e)
		env.addServer(fmt.Sprint("engine-", i+1), e.Address(), "models = assistant", 8)
	}
	env.apply("")
	return env
}

func (env *testEnv) startEngine(options standinengine.Options) *standinengine.Engine {
	options.Models = []string{"assistant"}
	e := standinengine.New(options)
	env.c.Assert(e.Start("127.0.0.1:0"), qt.IsNil)
	env.c.Cleanup(func() { _ = e.Close() })
	return e
}

func (env *testEnv) addServer(name, address, serves string, slots int) {
	env.serversConfig += fmt.Sprintf("\n[backend-server %s]\naddress = %s\nfailure-domain = quito-a\n%s\nplaces = %d\n",
		name, address, serves, slots)
}

// files returns the files of the configuration with extra added.
func (env *testEnv) files(extra string) []config.File {
	shop, roofers := apikey.Hash(shopKey), apikey.Hash(roofersKey)
	base := fmt.Sprintf(baseConfig, shop[:], roofers[:])
	return []config.File{{Name: "a.ini", Text: base}, {Name: "b.ini", Text: env.serversConfig}, {Name: "c.ini", Text: extra}}
}

// apply applies the configuration with extra added.
func (env *testEnv) apply(extra string) {
	files := env.files(extra)
	_, err := config.Parse(files)
	env.c.Assert(err, qt.IsNil)
	change := revision.Change{Base: env.revision, Files: files, Author: "test"}
	applied, err := revision.NewStore(env.platform.Client("operator")).Apply(context.Background(), change, time.Now())
	env.c.Assert(err, qt.IsNil)
	env.revision = applied.Meta.Revision
}

// platformAddressFor returns an address of the platform at which all calls count as calls of
// the given caller.
func (env *testEnv) platformAddressFor(caller string) string {
	address, err := env.platform.StartFor(caller, "127.0.0.1:0")
	env.c.Assert(err, qt.IsNil)
	return address
}

// startEntry starts an entry daemon and waits until it is ready.
func (env *testEnv) startEntry(name string) *process {
	p := startProcess(env.c, entryLaunch(name, env.platformAddressFor(name)))
	env.awaitReady(p)
	return p
}

func (env *testEnv) awaitReady(p *process) {
	env.eventually(p.name+" is ready", func() bool {
		response, err := env.http.Get("http://" + p.Ops + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// addVM adds a VM with an entry daemon to the platform's list of VMs.
func (env *testEnv) addVM(name, peerAddress string) {
	host, port, err := net.SplitHostPort(peerAddress)
	env.c.Assert(err, qt.IsNil)
	number, err := strconv.Atoi(port)
	env.c.Assert(err, qt.IsNil)
	env.platform.AddVM(vms.VM{Name: name, FailureDomain: domain, Address: host, PeerPort: number})
}

// status returns the status that a daemon reports at its peer port.
func (env *testEnv) status(p *process) peer.Status {
	client := peer.NewClient(p.Peer, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	status, err := client.Status(ctx)
	env.c.Assert(err, qt.IsNil)
	return status
}

// eventually waits until the condition holds, and fails the test after maxWait.
func (env *testEnv) eventually(what string, condition func() bool) {
	env.c.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	env.c.Fatalf("timed out waiting until %s", what)
}

// answer is the response that a caller received.
type answer struct {
	status int
	body   string
	// id is the request id of the response.
	id string
	// err is the error that ended the response early; nil if it is complete.
	err error
}

// refusal returns the refusal that the answer consists of or ends with, or nil if there is
// none.
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

// notRun reports whether the answer is a refusal that says that the request did not run.
func (a answer) notRun() bool {
	r := a.refusal()
	return r != nil && r.RunState == refusal.NotRun
}

// do sends a request to the callers' port of a daemon and reads the answer.
func (env *testEnv) do(p *process, path, key, body string, headers ...string) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.Callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := env.http.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(text), id: response.Header.Get(engine.HeaderRequestID), err: err}
}

// chat requests an answer of n tokens to a prompt.
func (env *testEnv) chat(p *process, key, prompt string, n int, stream bool) answer {
	return env.do(p, engine.PathChat, key, chatBody(prompt, n, stream))
}

func chatBody(prompt string, n int, stream bool) string {
	return fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":"%s [tokens=%d]"}],"stream":%t}`, prompt, n, stream)
}
