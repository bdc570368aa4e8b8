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

// ErrRequestNotFound is returned when no log line has the request's id.
var ErrRequestNotFound = merry.Sentinel("explain: no log line has this request id")

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 4 << 20

// Other lines of a VM count as related to a request only if they were written between
// marginBefore before it arrived and marginAfter after it ended. Within this time a VM
// refreshes its cached state from the store.
const (
	marginBefore = 5 * time.Second
	marginAfter  = time.Second
)

// Line is a log line.
type Line struct {
	// VM is the VM whose daemon wrote the line: the name of the log, or in a log of
	// several VMs the word before the JSON object.
	VM string
	// At is the time at which the line was written.
	At time.Time
	// Message is the field "msg".
	Message string
	// Fields are the other fields by name, without time and level.
	Fields map[string]any
}

// Report holds the log lines of a request and related lines. Its fields are printed as
// JSON under their Go names.
type Report struct {
	// ID is the id of the request.
	ID string
	// Request holds the lines with the id, in order of time.
	Request []Line
	// Around holds the related lines that the same VMs wrote around the time of the
	// request, in order of time: those about the backend servers that the request was
	// sent to, and those about no backend server.
	Around []Line
}

// Log is a log to read.
type Log struct {
	// Name is the name of the VM, for lines that do not name one.
	Name string
	// Open opens the log for reading. It is called twice.
	Open func() (io.ReadCloser, error)
}

// Find reads the logs and returns the report of the request with the given id. It
// returns ErrRequestNotFound if no line has that id.
func Find(id string, logs []Log) (*Report, error) {
	report := &Report{ID: id}
	if err := forEachLine(logs, func(l Line) {
		if l.Fields["request-id"] == id {
			report.Request = append(report.Request, l)
		}
	}); err != nil {
		return nil, err
	}
	if len(report.Request) == 0 {
		return nil, merry.Wrap(ErrRequestNotFound, merry.AppendMessage(id))
	}
	servers, spans := report.attemptedServers(), report.timeSpans()
	if err := forEachLine(logs, func(l Line) {
		span, ok := spans[l.VM]
		if ok && !l.At.Before(span[0]) && !l.At.After(span[1]) && isRelated(l, servers) {
			filterServerLists(l, servers)
			report.Around = append(report.Around, l)
		}
	}); err != nil {
		return nil, err
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(report.Request, byTime)
	slices.SortStableFunc(report.Around, byTime)
	return report, nil
}

// forEachLine calls f with every line of all logs that a daemon wrote. Other lines are
// skipped.
func forEachLine(logs []Log, f func(Line)) error {
	for _, log := range logs {
		r, err := log.Open()
		if err != nil {
			return err
		}
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := parseLine(log.Name, scanner.Text()); ok {
				f(l)
			}
		}
		if err := errors.Join(scanner.Err(), r.Close()); err != nil {
			return merry.Prepend(err, log.Name)
		}
	}
	return nil
}

// parseLine parses a line: a JSON object, or a time, the name of a VM and a JSON object. It
// reports false if the line is not a log line of a daemon.
func parseLine(vm, text string) (Line, bool) {
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

// attemptedServers returns the names of the backend servers that the request was sent
// to.
func (r *Report) attemptedServers() map[string]bool {
	servers := make(map[string]bool)
	for _, l := range r.Request {
		for _, attempt := range stringsOf(l.Fields["attempts"]) {
			name, _, _ := strings.Cut(attempt, "/")
			servers[name] = true
		}
	}
	return servers
}

// timeSpans returns, for each VM with lines of the request, the start and the end of the
// time in which its other lines count as related.
func (r *Report) timeSpans() map[string][2]time.Time {
	spans := make(map[string][2]time.Time)
	for _, l := range r.Request {
		took, _ := l.Fields["took-ms"].(float64)
		from, to := l.At.Add(-time.Duration(took)*time.Millisecond-marginBefore), l.At.Add(marginAfter)
		if span, ok := spans[l.VM]; ok {
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

// stringsOf returns the strings in a decoded JSON array; nil if list is not one.
func stringsOf(list any) []string {
	values, _ := list.([]any)
	var found []string
	for _, v := range values {
		if text, ok := v.(string); ok {
			found = append(found, text)
		}
	}
	return found
}

// isRelated reports whether a line without the request's id is related to the request.
// Lines of other requests and lines about backend servers that the request was not sent
// to are not.
func isRelated(l Line, servers map[string]bool) bool {
	if l.Fields["request-id"] != nil {
		return false
	}
	if name, ok := l.Fields["backend-server"].(string); ok {
		return servers[name]
	}
	added, removed := stringsOf(l.Fields["added"]), stringsOf(l.Fields["removed"])
	if len(added)+len(removed) == 0 {
		return true
	}
	return slices.ContainsFunc(append(added, removed...), func(name string) bool { return servers[name] })
}

// filterServerLists removes the backend servers that the request was not sent to from the
// lists "added" and "removed" of a line.
func filterServerLists(l Line, servers map[string]bool) {
	for _, list := range []string{"added", "removed"} {
		if _, ok := l.Fields[list]; ok {
			l.Fields[list] = slices.DeleteFunc(stringsOf(l.Fields[list]), func(name string) bool { return !servers[name] })
		}
	}
}

// WriteText writes the report as text for operators.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, l := range r.Request {
		fmt.Fprintf(&b, "%s %s: %s\n", l.At.Format(time.RFC3339Nano), l.VM, l.Message)
		for _, attempt := range stringsOf(l.Fields["attempts"]) {
			fmt.Fprintf(&b, "    sent to %s\n", attempt)
		}
		fmt.Fprintf(&b, "    %s\n", formatFields(l, "attempts", "request-id"))
		if cause := causeOf(l); cause != "" {
			fmt.Fprintf(&b, "    cause: %s\n", cause)
		}
	}
	b.WriteString("related log lines:\n")
	for _, l := range r.Around {
		fmt.Fprintf(&b, "%s %s: %s %s\n", l.At.Format(time.RFC3339Nano), l.VM, l.Message, formatFields(l))
	}
	if len(r.Around) == 0 {
		b.WriteString("none\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formatFields returns the fields of a line as name=value, sorted by name, except those with
// the names in without.
func formatFields(l Line, without ...string) string {
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
