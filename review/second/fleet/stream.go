package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Stream is a stream of a client.
type Stream struct {
	Number int
	// First is the attempt that brought the first event, and Last the id of the last event.
	First    string
	Last     int
	Statuses []int
	// Versions are the versions in the events, each time that they change.
	Versions []string
	Complete bool
}

// Attempt sends the stream to a daemon's address and receives events until it ends. ctx has the
// deadline of the client.
func (s *Stream) Attempt(ctx context.Context, f *Fleet, address, id string, events int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/reply/x", strings.NewReader("prompt"))
	if err != nil {
		return
	}
	request.Host = Host
	h := request.Header
	h.Set("Authorization", "Bearer key-a")
	h.Set("X-Attempt-Id", id)
	end, _ := ctx.Deadline()
	h.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	h.Set("X-Model", "m")
	h.Set("X-Token-Usage", fmt.Sprintf("400,%d", events*eventTokens))
	h.Set("X-Prefix-Hash", fmt.Sprintf("%x:300,%x:100", 16+s.Number%4, 4096+s.Number))
	if s.Last > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(s.Last))
		h.Set("Resumes", s.First)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.Statuses = append(s.Statuses, 0)
		f.Record("client: stream %d, attempt %s: %v", s.Number, id, err)
		return
	}
	defer response.Body.Close()
	s.Statuses = append(s.Statuses, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		f.Record("client: stream %d, attempt %s: status %d %s", s.Number, id, response.StatusCode, strings.TrimSpace(string(text)))
		return
	}
	lines := bufio.NewScanner(response.Body)
	number := 0
	for lines.Scan() {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(value)
		}
		value, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if s.Last == 0 {
			s.First = id
		}
		s.Last = number
		version, _, _ := strings.Cut(value, " ")
		if len(s.Versions) == 0 || s.Versions[len(s.Versions)-1] != version {
			s.Versions = append(s.Versions, version)
			f.Record("client: stream %d, attempt %s: event %d comes from %s", s.Number, id, number, value)
		}
	}
	s.Complete = lines.Err() == nil && s.Last == events
}

// StreamDeadline is the deadline of streams, and the timeout of their route.
const StreamDeadline = 20 * time.Second

// WriteStreamConfig writes a desired state with one route, whose streams may be resumed.
func (f *Fleet) WriteStreamConfig() {
	f.Store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "reply", "host": Host, "prefix": "/reply/", "type": "streaming", "timeoutMs": StreamDeadline.Milliseconds(),
			"targetLatencyMs": 800, "gapTargetMs": 600, "service": "llm", "maxAttempts": 2, "sessionAffinity": true, "streamResume": true, "priority": 1,
		}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/healthz", "runtime": map[string]any{"slots": 64, "kvCapacity": 500000, "stride": 3}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 200000, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "apiKeys": []string{"key-a"}}},
	})
}
