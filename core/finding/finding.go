package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is the kind of a problem.
type Kind string

// The kinds of findings.
const (
	// Syntax means that the text is not valid INI, or that the file cannot be
	// read.
	Syntax Kind = "syntax"
	// Unknown means that a section or setting does not exist.
	Unknown Kind = "unknown"
	// Missing means that a required setting is missing.
	Missing Kind = "missing"
	// Duplicate means that a section or setting occurs more than once, or that a
	// value that must be unique, such as an address, does.
	Duplicate Kind = "duplicate"
	// InvalidValue means that a value is malformed, lacks its unit, is out of
	// range or contradicts another setting.
	InvalidValue Kind = "value"
	// UnresolvedReference means that a setting refers to a name that does not
	// exist or that the section may not use, such as a service class that the
	// client account has not bought.
	UnresolvedReference Kind = "reference"
)

// Finding is one problem found in the input.
type Finding struct {
	// Kind is the kind of the problem.
	Kind Kind `json:"kind"`
	// File is the name of the file.
	File string `json:"file"`
	// Line is the line in the file, starting at 1; 0 means the file as a whole.
	Line int `json:"line"`
	// Section is the title of the section, or empty.
	Section string `json:"section"`
	// Setting is the name of the setting, or empty.
	Setting string `json:"setting"`
	// Message describes the problem to the user.
	Message string `json:"message"`
}

// String returns the finding as one line, in the form "FILE:LINE: [SECTION]
// SETTING: MESSAGE (KIND)". Parts that are not set are left out.
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

// List holds findings that are reported together as one error. The zero value
// is an empty list.
type List struct {
	// Findings are in the order in which they were added, until Sort is called.
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

// Error returns all findings, one per line.
func (l *List) Error() string {
	lines := make([]string, len(l.Findings))
	for i, f := range l.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
