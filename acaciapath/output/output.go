package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/pflag"
)

// ErrUnknownFormat is returned by Format.Set for a name that is not a format.
var ErrUnknownFormat = merry.Sentinel("output: format must be table or json")

// Format is an output format. It implements pflag.Value.
type Format string

// Formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

var _ pflag.Value = (*Format)(nil)

// String returns the name of the format.
func (f *Format) String() string { return string(*f) }

// Type returns the type of the flag's value for the help.
func (f *Format) Type() string { return "table|json" }

// Set sets the format by its name. It returns ErrUnknownFormat for any other name.
func (f *Format) Set(name string) error {
	switch Format(name) {
	case Table, JSON:
		*f = Format(name)
		return nil
	}
	return ErrUnknownFormat
}

// Result is a result of a command. It is also encoded as JSON.
type Result interface {
	// WriteText writes the result as text for operators.
	WriteText(w io.Writer) error
}

// Print writes the result to w in the given format.
func Print(w io.Writer, format Format, result Result) error {
	if format == JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(result)
	}
	return result.WriteText(w)
}

// Grid is a table with an optional title line and a header.
type Grid struct {
	// Title is the line above the table; it is left out if empty.
	Title string
	// Header holds the column names.
	Header []string
	// Rows holds the rows, each with a cell for each column.
	Rows [][]string
}

// Add adds a row. Values are formatted as by fmt.Sprint.
func (g *Grid) Add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = fmt.Sprint(v)
	}
	g.Rows = append(g.Rows, row)
}

// WriteText writes the title and the table, or "none" in place of a table without rows.
func (g *Grid) WriteText(w io.Writer) error {
	if g.Title != "" {
		if _, err := fmt.Fprintln(w, g.Title); err != nil {
			return err
		}
	}
	if len(g.Rows) == 0 {
		_, err := fmt.Fprintln(w, "none")
		return err
	}
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{g.Header}, g.Rows...) {
		if _, err := fmt.Fprintln(tabs, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tabs.Flush()
}
