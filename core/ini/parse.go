package ini

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	library "gopkg.in/ini.v1"

	"acaciapath.example/core/finding"
)

// File is an INI file.
type File struct {
	// Name is the file's name in findings.
	Name string
	// Text is the content of the file.
	Text string
}

// Position is a line of a file.
type Position struct {
	// File is the name of the file.
	File string
	// Line is the line number, starting at 1; 0 if there is no line.
	Line int
}

// Value is the value of a setting.
type Value struct {
	// Setting is the name of the setting.
	Setting string
	// Text is the value without quotes and comments.
	Text string
	// Position is where the value that is in effect is set.
	Position Position
}

// Section is an INI section, merged from all files that contain it.
type Section struct {
	// Kind is the first word of the title.
	Kind string
	// Name is the rest of the title, or empty.
	Name string
	// Position is that of the first header.
	Position Position
	// Values are in the order in which their settings appeared first. Each
	// setting has at most one.
	Values []Value
}

// Title returns the kind and the name, separated by a space.
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Value returns the value of a setting, or nil if the section does not set it.
func (s *Section) Value(setting string) *Value {
	for i := range s.Values {
		if s.Values[i].Setting == setting {
			return &s.Values[i]
		}
	}
	return nil
}

// Finding returns a finding at the position of a setting, or at the position of
// the section if the setting is missing.
func (s *Section) Finding(kind finding.Kind, setting, message string) finding.Finding {
	position := s.Position
	if v := s.Value(setting); v != nil {
		position = v.Position
	}
	return finding.Finding{
		Kind: kind, File: position.File, Line: position.Line,
		Section: s.Title(), Setting: setting, Message: message,
	}
}

// Set adds a value, or replaces the value of the same setting.
func (s *Section) Set(v Value) {
	if old := s.Value(v.Setting); old != nil {
		*old = v
		return
	}
	s.Values = append(s.Values, v)
}

// Parse returns the sections of the files in the order in which they appeared
// first. Files are merged in the order of their names: if several files contain
// a section, each setting has the value of the last file that sets it. Problems
// are added to findings; everything else is still returned.
func Parse(files []File, findings *finding.List) []*Section {
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	m := merger{byTitle: make(map[string]*Section), findings: findings}
	for _, f := range files {
		m.add(f)
	}
	return m.ordered
}

// merger merges files into sections.
type merger struct {
	ordered []*Section
	// byTitle holds the elements of ordered by their titles.
	byTitle  map[string]*Section
	findings *finding.List
}

// add parses a file and merges its sections.
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
		m.findings.Add(finding.Finding{Kind: finding.Syntax, File: f.Name, Message: "the file is not a valid INI file"})
		return
	}
	// The library's first section holds the settings before the first header.
	// It is empty, because the scanner rejects such settings.
	librarySections := parsed.Sections()[1:]
	earlierLines := make(map[string]int, len(s.sections))
	for i := range s.sections {
		m.merge(f.Name, &s.sections[i], librarySections[i].Keys(), earlierLines)
	}
}

// merge merges one section of a file. keys are in the order of part.settings.
// earlierLines holds, for each title that appeared earlier in the file, the line
// of its last header.
func (m *merger) merge(file string, part *fileSection, keys []*library.Key, earlierLines map[string]int) {
	section := m.section(file, part)
	if earlier, ok := earlierLines[part.title]; ok {
		m.findings.Add(finding.Finding{
			Kind: finding.Duplicate, File: file, Line: part.line, Section: part.title,
			Message: "the section already occurs in this file, on line " + strconv.Itoa(earlier),
		})
	}
	earlierLines[part.title] = part.line
	for i, setting := range part.settings {
		section.Set(Value{Setting: setting.name, Text: keys[i].Value(), Position: Position{File: file, Line: setting.line}})
	}
}

// section returns the merged section with the title of part, and creates it if
// needed.
func (m *merger) section(file string, part *fileSection) *Section {
	if s, ok := m.byTitle[part.title]; ok {
		return s
	}
	kind, name, _ := strings.Cut(part.title, " ")
	s := &Section{Kind: kind, Name: name, Position: Position{File: file, Line: part.line}}
	m.byTitle[part.title] = s
	m.ordered = append(m.ordered, s)
	return s
}
