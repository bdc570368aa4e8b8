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

// commandSettings is appended to a command of acaciapath; it names its settings file.
const commandSettings = " --settings examples/processes/command.ini"

// chatPath is the path of the chat completions API.
const chatPath = "/v1/chat/completions"

// TestSeparateProcesses guards against command lines in README.md that do not work. It runs
// them all: they start every program, apply the example configuration, make calls and
// withdraw the key. At the end it stops all programs gracefully.
func TestSeparateProcesses(t *testing.T) {
	c := qt.New(t)
	r := newCommandRunner(c)
	var standIns, daemons []*process
	var commands []string
	for _, line := range r.lines() {
		switch {
		case strings.HasPrefix(line, "go build"):
		case strings.HasPrefix(line, "bin/standin"):
			standIns = append(standIns, r.start(line))
		case strings.HasPrefix(line, "bin/entryd"), strings.HasPrefix(line, "bin/controld"):
			daemons = append(daemons, r.start(line))
		default:
			commands = append(commands, line)
		}
	}
	c.Assert(standIns, qt.HasLen, 5)
	c.Assert(daemons, qt.HasLen, 6)
	r.awaitPlatform()
	for _, line := range commands {
		if strings.HasPrefix(line, "curl ") {
			r.awaitBackendServers()
			r.runCurl(line)
			continue
		}
		if strings.Contains(line, "keys withdraw") {
			r.checkCalls()
		}
		r.run(line)
	}
	status, body := r.post(8031, chatPath, `{"model":"assistant","messages":[{"role":"user","content":"hi"}]}`)
	c.Assert(status, qt.Equals, http.StatusUnauthorized)
	c.Assert(body, qt.Contains, `"code":"key-withdrawn"`)

	r.checkGracefulStop(daemons[0])
	for _, p := range daemons[1:] {
		p.interrupt(c)
	}
	for _, p := range daemons[1:] {
		p.awaitExit(c)
	}
	for _, p := range standIns {
		p.interrupt(c)
		p.awaitExit(c)
	}
}

// poll waits until the condition holds, and fails the test after commandTimeout.
func (r *commandRunner) poll(what string, holds func() bool) {
	for deadline := time.Now().Add(commandTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.c.Fatalf("timed out waiting for %s", what)
}

// awaitPlatform waits until the platform answers.
func (r *commandRunner) awaitPlatform() {
	r.poll("the platform", func() bool {
		cmd := exec.Command("bin/acaciapath", strings.Fields("history"+commandSettings)...)
		cmd.Dir = r.dir
		return cmd.Run() == nil
	})
}

// awaitBackendServers waits until all entry daemons have at least minBackendServers backend
// servers in the state ready.
func (r *commandRunner) awaitBackendServers() {
	r.poll("backend servers", func() bool {
		var status struct {
			BackendServers []struct {
				Name   string `json:"name"`
				State  string `json:"state"`
				SeenBy int    `json:"seen-by"`
			} `json:"backend-servers"`
		}
		out := r.run("bin/acaciapath status --output json" + commandSettings)
		r.c.Assert(json.Unmarshal([]byte(out), &status), qt.IsNil)
		ready := 0
		for _, s := range status.BackendServers {
			if s.State == "ready" && s.SeenBy == 3 {
				ready++
			}
		}
		return ready >= minBackendServers
	})
}

// minBackendServers is the minimum number of backend servers of the example: one engine,
// three replicas of the shop, and 18 that are ordered for the pools.
const minBackendServers = 22

// runCurl runs a curl command, or does nothing if curl is not installed. A chat completion
// must be complete.
func (r *commandRunner) runCurl(line string) {
	if _, err := exec.LookPath("curl"); err != nil {
		return
	}
	out := r.run(strings.Replace(line, "curl ", "curl --silent --show-error --fail ", 1))
	if strings.Contains(line, chatPath) {
		r.c.Assert(strings.HasSuffix(strings.TrimSpace(out), "data: [DONE]"), qt.IsTrue)
	}
}

// checkCalls makes a chat completion call, and calls the plain service with the same
// idempotency key at two entry VMs. The second call must get the stored answer of the first.
func (r *commandRunner) checkCalls() {
	status, body := r.post(8021, chatPath, `{"model":"assistant","messages":[{"role":"user","content":"hi [tokens=5]"}]}`)
	r.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(body))
	r.c.Assert(body, qt.Contains, `"completion_tokens":5`)

	status, first := r.post(8011, "/shop/renewals", `{"subscriber":"2"}`, "Idempotency-Key", "renewal-2")
	r.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(first))
	status, again := r.post(8031, "/shop/renewals", `{"subscriber":"2"}`, "Idempotency-Key", "renewal-2")
	r.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf(again))
	r.c.Assert(again, qt.Equals, first)
}

// checkGracefulStop stops an entry daemon while it streams an answer, which must still be
// completed.
func (r *commandRunner) checkGracefulStop(entry *process) {
	r.run("KEY=$(bin/acaciapath keys issue shop --client-account guayaquil-shop --name van --default-class chat --apply" + commandSettings + ")")
	response := r.send(8011, chatPath, `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"hi [tokens=200]"}]}`)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	_, err := reader.ReadString('\n')
	r.c.Assert(err, qt.IsNil)
	entry.interrupt(r.c)
	rest, err := io.ReadAll(reader)
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(strings.HasSuffix(strings.TrimSpace(string(rest)), "data: [DONE]"), qt.IsTrue)
	entry.awaitExit(r.c)
}

// post makes a call and returns the status and the body of the response.
func (r *commandRunner) post(port int, path, body string, header ...string) (int, string) {
	response := r.send(port, path, body, header...)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	r.c.Assert(err, qt.IsNil)
	return response.StatusCode, string(answer)
}

// send makes a call with the current key to a callers' port, given as in README.md.
func (r *commandRunner) send(port int, path, body string, header ...string) *http.Response {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	r.c.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:"+r.port(port)+path, strings.NewReader(body))
	r.c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+r.key)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	r.c.Assert(err, qt.IsNil)
	return response
}
