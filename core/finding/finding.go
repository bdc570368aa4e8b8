// Package finding collects what is wrong with input, each with its place, so
// that all of it is reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// Syntax is text that is not INI, or a file that cannot be read.
	Syntax Kind = "syntax"
	// Unknown is a section or setting that does not exist.
	Unknown Kind = "unknown"
	// Missing is a setting that is required and not there.
	Missing Kind = "missing"
	// Duplicate is a section, setting, hash or tier that stands twice.
	Duplicate Kind = "duplicate"
	// InvalidValue is a value that is malformed, without its unit or out of range.
	InvalidValue Kind = "value"
	// UnresolvedReference is a name that nothing has.
	UnresolvedReference Kind = "reference"
)

// Finding is one thing that is wrong.
type Finding struct {
	// Kind is the kind of the finding.
	Kind Kind `json:"kind"`
	// File is the name of the file.
	File string `json:"file"`
	// Line is the line in the file, from 1; 0 means the file as a whole.
	Line int `json:"line"`
	// Section is the section, or empty.
	Section string `json:"section"`
	// Setting is the setting, or empty.
	Setting string `json:"setting"`
	// Message tells a person what is wrong.
	Message string `json:"message"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Setting != "" {
		fmt.Fprintf(&b, "%s: ", f.Setting)
	}
	fmt.Fprintf(&b, "%s (%s)", f.Message, f.Kind)
	return b.String()
}

// List is findings that are reported together. The zero value is empty.
type List struct {
	// Findings are in the order in which they were added.
	Findings []Finding
}

// Add adds a finding.
func (l *List) Add(f Finding) { l.Findings = append(l.Findings, f) }

// Sort orders the findings by file, line, setting and message.
func (l *List) Sort() {
	slices.SortStableFunc(l.Findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Setting, b.Setting),
			cmp.Compare(a.Message, b.Message),
		)
	})
}

// Err returns the list as an error, or nil if it is empty.
func (l *List) Err() error {
	if len(l.Findings) == 0 {
		return nil
	}
	return l
}

// Error returns all findings, a line each.
func (l *List) Error() string {
	lines := make([]string, len(l.Findings))
	for i, f := range l.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
