// Package output prints the results of commands as tables or as JSON.
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

// ErrUnknownFormat is returned for an unknown format.
var ErrUnknownFormat = merry.Sentinel("output: format must be table or json")

// Format is a form in which results are printed. It is a flag.
type Format string

// The formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

var _ pflag.Value = (*Format)(nil)

// String returns the name of the format.
func (f *Format) String() string { return string(*f) }

// Type returns what the flag's help shows.
func (f *Format) Type() string { return "table|json" }

// Set takes the name of a format. It returns ErrFormat for any other name.
func (f *Format) Set(name string) error {
	switch Format(name) {
	case Table, JSON:
		*f = Format(name)
		return nil
	}
	return ErrUnknownFormat
}

// Result is what a command prints.
type Result interface {
	// WriteText writes the result for people.
	WriteText(w io.Writer) error
}

// Print writes the result in the given format.
func Print(w io.Writer, format Format, result Result) error {
	if format == JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(result)
	}
	return result.WriteText(w)
}

// Grid is a table with a title line and a header.
type Grid struct {
	// Title stands above the table; it may be empty.
	Title string
	// Header holds the names of the columns.
	Header []string
	// Rows have a cell for each column.
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

// WriteText writes the table, or a line that says that there is nothing.
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
