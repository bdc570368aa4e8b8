// Package explain tells from the daemons' logs what became of one request and why:
// the lines that bear its id, and what its VM noted around that time of the backend
// servers that were tried and of the platform.
package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrRequestNotFound is returned when no line bears the request's id.
var ErrRequestNotFound = merry.Sentinel("story: no line of the logs bears this request id")

// maxLine bounds a line of a log.
const maxLine = 4 << 20

// lead and trail are how long before a request arrived and after it ended lines of
// its VM belong to its story: the time in which beliefs of the store are renewed.
const (
	lead  = 5 * time.Second
	trail = time.Second
)

// Line is a line of a log.
type Line struct {
	// VM is the process that wrote it: the name of the file, or what stands before
	// the line in a log of several.
	VM string
	// At is when it was written.
	At time.Time
	// Message says what happened.
	Message string
	// Fields are the others, by name.
	Fields map[string]any
}

// Report is what became of a request.
type Report struct {
	// ID is the id of the request.
	ID string
	// Request are the lines that bear it, in the order of time.
	Request []Line
	// Around are lines of the same VMs that bear on it.
	Around []Line
}

// Log is a log to be read.
type Log struct {
	// Name stands for the VM.
	Name string
	// Open opens it. It is read twice.
	Open func() (io.ReadCloser, error)
}

// Find reads logs and returns the story of a request. It returns ErrUnknown if there
// is none.
func Find(id string, logs []Log) (*Report, error) {
	s := &Report{ID: id}
	if err := each(logs, func(l Line) {
		if l.Fields["request-id"] == id {
			s.Request = append(s.Request, l)
		}
	}); err != nil {
		return nil, err
	}
	if len(s.Request) == 0 {
		return nil, merry.Wrap(ErrRequestNotFound, merry.AppendMessage(id))
	}
	servers, spans := s.servers(), s.spans()
	if err := each(logs, func(l Line) {
		span, there := spans[l.VM]
		if there && !l.At.Before(span[0]) && !l.At.After(span[1]) && bears(l, servers) {
			keepNames(l, servers)
			s.Around = append(s.Around, l)
		}
	}); err != nil {
		return nil, err
	}
	order := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(s.Request, order)
	slices.SortStableFunc(s.Around, order)
	return s, nil
}

// each calls f with every line of all logs that is one of a daemon.
func each(logs []Log, f func(Line)) error {
	for _, log := range logs {
		r, err := log.Open()
		if err != nil {
			return err
		}
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if l, ok := parse(log.Name, scanner.Text()); ok {
				f(l)
			}
		}
		if err := errors.Join(scanner.Err(), r.Close()); err != nil {
			return merry.Prepend(err, log.Name)
		}
	}
	return nil
}

// parse reads a line: JSON, or JSON behind a time and the name of a VM.
func parse(vm, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		vm = before[len(before)-1]
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	message, _ := fields["msg"].(string)
	written, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339, written)
	if message == "" || err != nil {
		return Line{}, false
	}
	delete(fields, "msg")
	delete(fields, "time")
	delete(fields, "level")
	return Line{VM: vm, At: at, Message: message, Fields: fields}, true
}

// servers returns the names of the backend servers that the request was sent to.
func (s *Report) servers() map[string]bool {
	servers := make(map[string]bool)
	for _, l := range s.Request {
		for _, attempt := range texts(l.Fields["attempts"]) {
			name, _, _ := strings.Cut(attempt, "/")
			servers[name] = true
		}
	}
	return servers
}

// spans returns from when to when lines of a VM belong to the story.
func (s *Report) spans() map[string][2]time.Time {
	spans := make(map[string][2]time.Time)
	for _, l := range s.Request {
		took, _ := l.Fields["took-ms"].(float64)
		from, to := l.At.Add(-time.Duration(took)*time.Millisecond-lead), l.At.Add(trail)
		if span, there := spans[l.VM]; there {
			from, to = earlier(from, span[0]), later(to, span[1])
		}
		spans[l.VM] = [2]time.Time{from, to}
	}
	return spans
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// texts returns the strings of a list.
func texts(list any) []string {
	values, _ := list.([]any)
	var found []string
	for _, v := range values {
		if text, ok := v.(string); ok {
			found = append(found, text)
		}
	}
	return found
}

// bears reports whether a line without the request's id bears on it: lines of other
// requests do not, nor changes of backend servers that it was not sent to.
func bears(l Line, servers map[string]bool) bool {
	if l.Fields["request-id"] != nil {
		return false
	}
	if name, ok := l.Fields["backend-server"].(string); ok {
		return servers[name]
	}
	added, removed := texts(l.Fields["added"]), texts(l.Fields["removed"])
	if len(added)+len(removed) == 0 {
		return true
	}
	return slices.ContainsFunc(append(added, removed...), func(name string) bool { return servers[name] })
}

// keepNames leaves only the request's backend servers in the lists of a line.
func keepNames(l Line, servers map[string]bool) {
	for _, list := range []string{"added", "removed"} {
		if _, there := l.Fields[list]; there {
			l.Fields[list] = slices.DeleteFunc(texts(l.Fields[list]), func(name string) bool { return !servers[name] })
		}
	}
}

// WriteText writes the story for people.
func (s *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, l := range s.Request {
		fmt.Fprintf(&b, "%s %s: %s\n", l.At.Format(time.RFC3339Nano), l.VM, l.Message)
		for _, attempt := range texts(l.Fields["attempts"]) {
			fmt.Fprintf(&b, "    sent to %s\n", attempt)
		}
		fmt.Fprintf(&b, "    %s\n", fieldList(l, "attempts", "request-id"))
		if cause := causeOf(l); cause != "" {
			fmt.Fprintf(&b, "    cause: %s\n", cause)
		}
	}
	b.WriteString("around it:\n")
	for _, l := range s.Around {
		fmt.Fprintf(&b, "%s %s: %s %s\n", l.At.Format(time.RFC3339Nano), l.VM, l.Message, fieldList(l))
	}
	if len(s.Around) == 0 {
		b.WriteString("nothing was noted\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// fieldList writes fields in the order of their names, without some.
func fieldList(l Line, without ...string) string {
	var names []string
	for name := range l.Fields {
		if !slices.Contains(without, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s=%v", name, l.Fields[name])
	}
	return strings.Join(names, " ")
}
