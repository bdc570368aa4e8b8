package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// withCommand adds the settings of the command line to a command.
const withCommand = " --settings examples/processes/command.ini"

// chatPath is the path of the chat API.
const chatPath = "/v1/chat/completions"

// TestSeparateProcesses follows README.md: it starts every program, applies the
// example, makes calls, withdraws the key and stops all gracefully.
func TestSeparateProcesses(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	var standIns, daemons []*process
	var rest []string
	for _, line := range b.lines() {
		switch {
		case strings.HasPrefix(line, "go build"):
		case strings.HasPrefix(line, "bin/standin"):
			standIns = append(standIns, b.start(line))
		case strings.HasPrefix(line, "bin/entryd"), strings.HasPrefix(line, "bin/controld"):
			daemons = append(daemons, b.start(line))
		default:
			rest = append(rest, line)
		}
	}
	c.Assert(standIns, qt.HasLen, 5)
	c.Assert(daemons, qt.HasLen, 6)
	b.awaitPlatform()
	for _, line := range rest {
		if strings.HasPrefix(line, "curl ") {
			b.awaitServers()
			b.curl(line)
			continue
		}
		if strings.Contains(line, "keys withdraw") {
			b.checkCalls()
		}
		b.run(line)
	}
	status, body := b.post(8031, chatPath, `{"model":"assistant","messages":[{"role":"user","content":"hi"}]}`)
	c.Assert(status, qt.Equals, http.StatusUnauthorized)
	c.Assert(body, qt.Contains, `"code":"key-withdrawn"`)

	b.checkGracefulStop(daemons[0])
	for _, p := range daemons[1:] {
		p.interrupt(c)
	}
	for _, p := range daemons[1:] {
		p.await(c)
	}
	for _, p := range standIns {
		p.interrupt(c)
		p.await(c)
	}
}

// poll waits until a condition holds.
func (b *bench) poll(what string, holds func() bool) {
	for deadline := time.Now().Add(commandTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return
		}
	}
	b.c.Fatalf("waited in vain for %s", what)
}

// awaitPlatform waits until the platform answers.
func (b *bench) awaitPlatform() {
	b.poll("the platform", func() bool {
		cmd := exec.Command("bin/acaciapath", strings.Fields("history"+withCommand)...)
		cmd.Dir = b.dir
		return cmd.Run() == nil
	})
}

// awaitServers waits until all entry daemons have the engine and the shop's
// replicas, and the control daemons have ordered the rest.
func (b *bench) awaitServers() {
	b.poll("backend servers", func() bool {
		var status struct {
			BackendServers []struct {
				Name   string `json:"name"`
				State  string `json:"state"`
				SeenBy int    `json:"seen-by"`
			} `json:"backend-servers"`
		}
		out := b.run("bin/acaciapath status --output json" + withCommand)
		b.c.Assert(json.Unmarshal([]byte(out), &status), qt.IsNil)
		ready := 0
		for _, s := range status.BackendServers {
			if s.State == "ready" && s.SeenBy == 3 {
				ready++
			}
		}
		return ready >= minServers
	})
}

// minServers is the least number of backend servers of the example: one engine,
// three replicas of the shop, and 18 that the pools order.
const minServers = 22

// curl runs a line of curl, if there is such a program.
func (b *bench) curl(line string) {
	if _, err := exec.LookPath("curl"); err != nil {
		return
	}
	out := b.run(strings.Replace(line, "curl ", "curl --silent --show-error --fail ", 1))
	if strings.Contains(line, chatPath) {
		b.c.Assert(strings.HasSuffix(strings.TrimSpace(out), "data: [DONE]"), qt.IsTrue)
	}
}

// checkCalls makes a chat call, and one plain call at two entry VMs, of which
// the second gets the stored outcome of the first.
func (b *bench) checkCalls() {
	status, body := b.post(8021, chatPath, `{"model":"assistant","messages":[{"role":"user","content":"hi [tokens=5]"}]}`)
	b.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(body))
	b.c.Assert(body, qt.Contains, `"completion_tokens":5`)

	status, first := b.post(8011, "/shop/renewals", `{"subscriber":"2"}`, "Idempotency-Key", "renewal-2")
	b.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(first))
	status, again := b.post(8031, "/shop/renewals", `{"subscriber":"2"}`, "Idempotency-Key", "renewal-2")
	b.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(again))
	b.c.Assert(again, qt.Equals, first)
}

// checkGracefulStop stops an entry daemon while it streams an answer.
func (b *bench) checkGracefulStop(entry *process) {
	b.run("KEY=$(bin/acaciapath keys issue shop --client-account guayaquil-shop --name van --default-class chat --apply" + withCommand + ")")
	response := b.send(8011, chatPath, `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"hi [tokens=200]"}]}`)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	_, err := reader.ReadString('\n')
	b.c.Assert(err, qt.IsNil)
	entry.interrupt(b.c)
	rest, err := io.ReadAll(reader)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(strings.HasSuffix(strings.TrimSpace(string(rest)), "data: [DONE]"), qt.IsTrue)
	entry.await(b.c)
}

// post makes a call and returns its answer.
func (b *bench) post(port int, path, body string, header ...string) (int, string) {
	response := b.send(port, path, body, header...)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	b.c.Assert(err, qt.IsNil)
	return response.StatusCode, string(answer)
}

// send makes a call with the key to the callers' port that README.md has.
func (b *bench) send(port int, path, body string, header ...string) *http.Response {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	b.c.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:"+b.port(port)+path, strings.NewReader(body))
	b.c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+b.key)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	b.c.Assert(err, qt.IsNil)
	return response
}
