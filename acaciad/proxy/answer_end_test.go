package proxy_test

import (
	"bytes"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// TestLogTellsThatRunWasStopped checks that the log of a stream whose run was stopped tells who
// ended it: the request to stop the run, and that the stream ended with its connection.
func TestLogTellsThatRunWasStopped(t *testing.T) {
	f, one, two := newUnframedFixture(t)
	var log bytes.Buffer
	f.handler.Logger.SetOutput(&log)
	f.handler.Logger.SetFormatter(&logrus.JSONFormatter{})
	one.SetLoseFinalAnswers(true)
	answers := f.startLongStream("/quote/", one, two)
	f.drainEngine(one)
	<-answers
	f.frontend.Close()
	lines := make(map[string]map[string]any)
	for decoder := json.NewDecoder(&log); ; {
		var line map[string]any
		if decoder.Decode(&line) != nil {
			break
		}
		lines[line["msg"].(string)] = line
	}
	f.Check(lines["engine draining during a request, handover finished"]["stop-requested"], qt.Equals, true)
	f.Check(lines["request not served"]["answer-end"], qt.Equals, "proxy: the run was stopped before its stream was complete")
}
