package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	coreengine "acaciapath.example/core/engine"
	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
)

// model is the model of the tests.
const model = "m"

// safetyTimeout is the timeout of chat requests, so that none hangs forever.
const safetyTimeout = 30 * time.Second

// fastStepTime is the step time of engines whose test does not set one.
const fastStepTime = 100 * time.Microsecond

func start(c *qt.C, options engine.Options) *engine.Engine {
	if options.StepTime == 0 {
		options.StepTime = fastStepTime
	}
	options.Models = []string{model}
	e := engine.New(options)
	c.Assert(e.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { _ = e.Close() })
	return e
}

// request returns a chat request with one user message.
func request(text string) *coreengine.ChatRequest {
	content, _ := json.Marshal(text)
	return &coreengine.ChatRequest{
		Model:    model,
		Messages: []coreengine.Message{{Role: "user", Content: content}},
	}
}

// answer is the response to a chat request, streamed or not.
type answer struct {
	Status  int
	Text    string
	Finish  string
	Tokens  int // number of deltas with text
	Usage   *coreengine.Usage
	Done    bool // the stream ended with [DONE]
	Code    string
	Choices []struct {
		Message      struct{ Content string }
		Delta        struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
	Error struct{ Code string }
}

// post sends a message to the engine with a request ID.
func post(ctx context.Context, e *engine.Engine, path, id string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(coreengine.HeaderRequestID, id)
	return http.DefaultClient.Do(req)
}

// chat sends a chat request and returns the answer, or the part of it received
// before an error.
func chat(ctx context.Context, e *engine.Engine, id string, req *coreengine.ChatRequest) (answer, error) {
	ctx, stop := context.WithTimeout(ctx, safetyTimeout)
	defer stop()
	res, err := post(ctx, e, coreengine.PathChat, id, req)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	if !req.Stream || res.StatusCode != http.StatusOK {
		a := answer{}
		err := json.NewDecoder(res.Body).Decode(&a)
		a.Status, a.Code = res.StatusCode, a.Error.Code
		if len(a.Choices) > 0 {
			a.Text, a.Finish = a.Choices[0].Message.Content, a.Choices[0].FinishReason
		}
		return a, err
	}
	return readStream(res.Body)
}

func readStream(body io.Reader) (answer, error) {
	a := answer{Status: http.StatusOK}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Done = true
			continue
		}
		var part answer
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return a, err
		}
		if part.Usage != nil {
			a.Usage = part.Usage
		}
		for _, choice := range part.Choices {
			a.Text += choice.Delta.Content
			a.Finish = choice.FinishReason
			if choice.Delta.Content != "" {
				a.Tokens++
			}
		}
	}
	return a, lines.Err()
}

// startLongAnswer starts a streamed chat request with a long answer and returns a
// channel that receives the answer when it ends.
func startLongAnswer(ctx context.Context, e *engine.Engine, id string, priority int) <-chan answer {
	req := request(id + " [tokens=100000]")
	req.Stream = true
	req.Priority = priority
	ended := make(chan answer, 1)
	go func() {
		a, _ := chat(ctx, e, id, req)
		ended <- a
	}()
	return ended
}

// awaitLoad waits until the engine reports the numbers of running and waiting
// requests.
func awaitLoad(c *qt.C, e *engine.Engine, running, waiting int) {
	for range 1000 {
		var load coreengine.Load
		get(c, e, coreengine.PathLoad, &load)
		if load.Running == running && load.Waiting == waiting {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatalf("timed out waiting until %d requests run and %d wait", running, waiting)
}

func get(c *qt.C, e *engine.Engine, path string, message any) {
	res, err := http.Get("http://" + e.Address() + path)
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	c.Assert(json.NewDecoder(res.Body).Decode(message), qt.IsNil)
}

func cancel(c *qt.C, e *engine.Engine, id string) coreengine.CancelResult {
	res, err := post(context.Background(), e, coreengine.PathCancel, "", coreengine.Cancel{RequestID: id})
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	var cancelled coreengine.CancelResult
	c.Assert(json.NewDecoder(res.Body).Decode(&cancelled), qt.IsNil)
	return cancelled
}
