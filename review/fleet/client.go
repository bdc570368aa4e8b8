package fleet

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Stream is a stream that one client receives, over its attempts.
type Stream struct {
	// Name is part of the ids of its attempts.
	Name string
	// Host, Path and Key are those of its request.
	Host, Path, Key string
	// Deadline is when the client no longer waits.
	Deadline time.Time

	// Events is the number of events that it has, the ids of which increase by one.
	Events int
	// First is the id of the attempt that brought the first event.
	First string
	// Versions are the software versions in its events, in order.
	Versions []string
	// Complete states that the stream has ended as a whole.
	Complete bool
	// Gaps is the number of events that were missing or came twice.
	Gaps int
	// Onward states that an event arrived after the stream was taken up again.
	Onward bool

	attempts int
}

// Receive sends an attempt to a daemon and receives events until the stream ends or breaks
// off. It returns the status, or 0 if there was no answer.
func (s *Stream) Receive(run *Run, d *Daemon) (status int) {
	s.attempts++
	attempt := s.Name + "-" + strconv.Itoa(s.attempts)
	ctx, cancel := context.WithDeadline(context.Background(), s.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Frontend+s.Path, strings.NewReader("question of "+s.Name))
	if err != nil {
		run.Impossible("request: %v", err)
	}
	request.Host = s.Host
	h := request.Header
	h.Set("Authorization", "Bearer "+s.Key)
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(s.Deadline).Milliseconds(), 10))
	h.Set("X-Model", "m")
	h.Set("X-Token-Usage", "1460,171")
	h.Set("X-Prefix-Hash", "5c1e07a2:350,"+strconv.FormatUint(uint64(len(s.Name))<<32|hash(s.Name), 16)+":1110")
	if s.Events > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(s.Events))
		h.Set("Resumes", s.First)
	}
	run.Logf("client sends attempt=%s to %s after-event=%d resumes=%s", attempt, d.Name, s.Events, h.Get("Resumes"))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		run.Logf("client has no answer attempt=%s: %v", attempt, err)
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		run.Logf("client gets status=%d attempt=%s retry-after=%s", response.StatusCode, attempt, response.Header.Get("Retry-After"))
		return response.StatusCode
	}
	lines := bufio.NewScanner(response.Body)
	id, data, received := 0, "", 0
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "":
			if id != s.Events+1 {
				s.Gaps++
			}
			if s.Events == 0 {
				s.First = attempt
			}
			s.Events = id
			s.Onward = s.Onward || s.attempts > 1
			received++
			version := strings.TrimPrefix(strings.Fields(data)[0], "version=")
			if n := len(s.Versions); n == 0 || s.Versions[n-1] != version {
				s.Versions = append(s.Versions, version)
			}
		}
	}
	s.Complete = lines.Err() == nil
	run.Logf("client received attempt=%s events=%d last=%d versions=%s complete=%t", attempt, received, s.Events, strings.Join(s.Versions, ","), s.Complete)
	return response.StatusCode
}

// hash returns a hash of a text, by FNV-1a.
func hash(text string) uint64 {
	h := uint32(2166136261)
	for _, b := range []byte(text) {
		h = (h ^ uint32(b)) * 16777619
	}
	return uint64(h)
}
