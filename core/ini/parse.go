package ini

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	library "gopkg.in/ini.v1"

	"acaciapath.example/core/finding"
)

// File is the text of one INI file.
type File struct {
	// Name is the file's name as findings show it.
	Name string
	// Text is the whole text.
	Text string
}

// Position is where something stands.
type Position struct {
	// File is the name of the file.
	File string
	// Line is the line, from 1.
	Line int
}

// Value is the value of a setting.
type Value struct {
	// Setting is the name of the setting.
	Setting string
	// Text is the value without quotes and comments.
	Text string
	// Position is where the value that is in force stands.
	Position Position
}

// Section is a section, merged from all files that hold it.
type Section struct {
	// Kind is the first word of the title.
	Kind string
	// Name is the rest of the title, or empty.
	Name string
	// Position is that of the first header.
	Position Position
	// Values are in the order in which the settings appeared first. No two are
	// of the same setting.
	Values []Value
}

// Title returns the text between the brackets.
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Value returns the value of a setting, or nil if it is not there.
func (s *Section) Value(setting string) *Value {
	for i := range s.Values {
		if s.Values[i].Setting == setting {
			return &s.Values[i]
		}
	}
	return nil
}

// Finding returns a finding at the place of a setting, or at that of the
// section if the setting is not there.
func (s *Section) Finding(kind finding.Kind, setting, message string) finding.Finding {
	place := s.Position
	if v := s.Value(setting); v != nil {
		place = v.Position
	}
	return finding.Finding{
		Kind: kind, File: place.File, Line: place.Line,
		Section: s.Title(), Setting: setting, Message: message,
	}
}

// Set puts a value in force.
func (s *Section) Set(v Value) {
	if old := s.Value(v.Setting); old != nil {
		*old = v
		return
	}
	s.Values = append(s.Values, v)
}

// Parse returns the sections of the files in the order in which they appeared
// first. The files are merged in the order of their names: in a section that
// stands in several files, the later file wins, setting by setting. What is
// wrong is added to findings, and the rest is returned all the same.
func Parse(files []File, findings *finding.List) []*Section {
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	m := merger{sections: make(map[string]*Section), findings: findings}
	for _, f := range files {
		m.add(f)
	}
	return m.ordered
}

// merger merges files into sections.
type merger struct {
	ordered []*Section
	// sections are the elements of ordered by their titles.
	sections map[string]*Section
	findings *finding.List
}

// add merges one file.
func (m *merger) add(f File) {
	s := scanner{file: f.Name, findings: m.findings}
	s.scan(f.Text)
	parsed, err := library.LoadSources(library.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		AllowNonUniqueSections:   true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\x00",
	}, []byte(s.accepted.String()))
	if err != nil {
		m.findings.Add(finding.Finding{Kind: finding.Syntax, File: f.Name, Message: "the file is not INI"})
		return
	}
	// The library's first section holds the settings before the first header,
	// of which the scanner lets none through.
	sections := parsed.Sections()[1:]
	seen := make(map[string]int, len(s.headers))
	for i := range s.headers {
		m.merge(f.Name, &s.headers[i], sections[i].Keys(), seen)
	}
}

// merge merges one section of a file. The keys are in the order of the
// header's settings.
func (m *merger) merge(file string, h *header, keys []*library.Key, seen map[string]int) {
	section := m.section(file, h)
	if first, ok := seen[h.title]; ok {
		m.findings.Add(finding.Finding{
			Kind: finding.Duplicate, File: file, Line: h.line, Section: h.title,
			Message: "the section stands twice in this file, first on line " + strconv.Itoa(first),
		})
	}
	seen[h.title] = h.line
	for i, p := range h.settings {
		section.Set(Value{Setting: p.name, Text: keys[i].Value(), Position: Position{File: file, Line: p.line}})
	}
}

// section returns the section with the header's title, making it if needed.
func (m *merger) section(file string, h *header) *Section {
	if s, ok := m.sections[h.title]; ok {
		return s
	}
	kind, name, _ := strings.Cut(h.title, " ")
	s := &Section{Kind: kind, Name: name, Position: Position{File: file, Line: h.line}}
	m.sections[h.title] = s
	m.ordered = append(m.ordered, s)
	return s
}
