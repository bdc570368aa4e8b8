package try_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciapath/try"
	"acaciapath.example/core/telemetry"

	qt "github.com/frankban/quicktest"
)

// testTimeout is the maximum duration of a test of one deployment.
const testTimeout = 2 * time.Minute

// testOptions returns the options of an example deployment. Warnings of the daemons are
// written to logs.
func testOptions(c *qt.C, deployment string, logs io.Writer) try.Options {
	files, err := try.Files(deployment)
	c.Assert(err, qt.IsNil)
	logger, err := telemetry.NewLogger("warning", telemetry.FormatText, logs)
	c.Assert(err, qt.IsNil)
	return try.Options{Files: files, Logger: logger, Random: rand.Reader, Now: time.Now}
}

// send makes a call, checks its status and returns the body of the response.
func send(ctx context.Context, c *qt.C, call *try.Call) string {
	request, err := call.Request(ctx)
	c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, call.Status, qt.Commentf("%s: %s", call.Title, body))
	return string(body)
}

// checkAnswer checks the body of the response to the i-th example call.
func checkAnswer(c *qt.C, i int, body string) {
	switch i {
	case 0:
		c.Assert(body, qt.Contains, `"usage":{`)
		c.Assert(strings.HasSuffix(strings.TrimSpace(body), "data: [DONE]"), qt.IsTrue)
	case 1:
		var answer struct {
			Usage struct {
				CompletionTokens int `json:"completion_tokens"`
			} `json:"usage"`
		}
		c.Assert(json.Unmarshal([]byte(body), &answer), qt.IsNil)
		c.Assert(answer.Usage.CompletionTokens > 0, qt.IsTrue)
	case 2:
		c.Assert(body, qt.Contains, `"execution":1`)
	case 3:
		c.Assert(body, qt.Contains, `"code":"key-invalid"`)
		c.Assert(body, qt.Contains, `"run":"not-run"`)
	}
}

// curlCommands returns the curl commands that a deployment prints below "ready".
func curlCommands(c *qt.C, d *try.Deployment) []string {
	var out bytes.Buffer
	c.Assert(d.PrintCalls(&out), qt.IsNil)
	text, ok := strings.CutPrefix(out.String(), "ready\n")
	c.Assert(ok, qt.IsTrue)
	var commands []string
	for command := range strings.Lines(text) {
		if strings.HasPrefix(command, "curl ") {
			commands = append(commands, command)
		}
	}
	return commands
}

func TestDeployments(t *testing.T) {
	c := qt.New(t)
	c.Assert(try.Deployments(), qt.DeepEquals, []string{"skylights", "sock-club"})
	for _, name := range try.Deployments() {
		c.Run(name, func(c *qt.C) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			var logs bytes.Buffer
			d, err := try.Start(ctx, testOptions(c, name, &logs))
			c.Assert(err, qt.IsNil)
			stop := sync.OnceValue(d.Stop)
			c.Cleanup(func() { _ = stop() })
			c.Assert(d.WaitReady(ctx), qt.IsNil)
			calls, err := d.Calls()
			c.Assert(err, qt.IsNil)
			c.Assert(calls, qt.HasLen, 4)
			for i := range calls {
				checkAnswer(c, i, send(ctx, c, &calls[i]))
			}
			commands := curlCommands(c, d)
			c.Assert(commands, qt.HasLen, len(calls))
			if _, err := exec.LookPath("curl"); err == nil {
				for i, command := range commands {
					body, err := exec.CommandContext(ctx, "sh", "-c", command).Output()
					c.Assert(err, qt.IsNil)
					checkAnswer(c, i, string(body))
				}
			}
			c.Assert(stop(), qt.IsNil)
			c.Assert(logs.String(), qt.Equals, "")
		})
	}
}

func TestUnknownDeployment(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"", "none", "../core", "examples.go"} {
		_, err := try.Files(name)
		c.Assert(err, qt.IsNotNil)
	}
}
