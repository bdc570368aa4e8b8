package usage_test

import (
	"encoding/json"
	"fmt"
	"strings"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/usage"

	"github.com/anishathalye/porcupine"
)

// windowInput is an operation on the row of a window, or a report as the platform
// receives it.
type windowInput struct {
	window string
	kind   string // insert, read or report
	lines  string // inserted or reported
}

// windowOutput is the result of an operation.
type windowOutput struct {
	unknown  bool
	rejected bool
	lines    string // read; empty if there is no row
}

// history records the operations on window rows and the reports.
type history struct {
	events     int64
	operations []porcupine.Operation
}

// nextEvent returns the number of the next event.
func (h *history) nextEvent() int64 { h.events++; return h.events }

func (h *history) add(call int64, in windowInput, out windowOutput) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: len(h.operations), Input: in, Call: call, Output: out, Return: h.nextEvent(),
	})
}

// commit records a transaction that inserts a window row. The model does not cover the
// deletion of rows, which happens only after a day.
func (h *history) commit(call int64, p *table.CommitPayload, err error) {
	for _, w := range p.Writes {
		if window, ok := strings.CutPrefix(w.Key, "usage/window/"); ok && !w.Delete {
			out := windowOutput{unknown: err == errNoReply, rejected: err != nil && err != errNoReply}
			h.add(call, windowInput{window: window, kind: "insert", lines: linesIn(w.Value)}, out)
		}
	}
}

// get records a read of a window row.
func (h *history) get(call int64, p *table.GetPayload, rows []*table.Row, err error) {
	window, ok := strings.CutPrefix(p.Keys[0], "usage/window/")
	if !ok || err != nil {
		return
	}
	var out windowOutput
	if len(rows) > 0 {
		out.lines = linesIn(rows[0].Value)
	}
	h.add(call, windowInput{window: window, kind: "read"}, out)
}

func linesIn(value []byte) string {
	var window usage.Window
	if err := json.Unmarshal(value, &window); err != nil {
		return string(value) // the totals are in several rows
	}
	return fmt.Sprintf("%+v", window.Lines)
}

// check reports whether the row of each window was inserted only once and reported only
// with its inserted lines. Operations without a reply may take effect at any later time.
func (h *history) check() bool {
	for i := range h.operations {
		if h.operations[i].Output.(windowOutput).unknown {
			h.operations[i].Return = h.events + 1
		}
	}
	return porcupine.CheckOperations(windowModel, h.operations)
}

var windowModel = (&porcupine.NondeterministicModel{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		byWindow := make(map[string][]porcupine.Operation)
		for _, o := range operations {
			window := o.Input.(windowInput).window
			byWindow[window] = append(byWindow[window], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byWindow {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []interface{} { return []interface{}{""} },
	Step: func(state, input, output interface{}) []interface{} {
		return stepWindow(state.(string), input.(windowInput), output.(windowOutput))
	},
}).ToModel()

func stepWindow(lines string, in windowInput, out windowOutput) []interface{} {
	same := []interface{}{lines}
	switch {
	case in.kind == "read" && out.lines == lines,
		in.kind == "report" && in.lines == lines,
		in.kind == "insert" && out.rejected:
		return same
	case in.kind != "insert":
		return nil
	case out.unknown && lines == "":
		return []interface{}{"", in.lines}
	case out.unknown:
		return same
	case lines == "":
		return []interface{}{in.lines}
	}
	return nil
}
