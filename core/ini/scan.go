package ini

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/finding"
)

// maxSettingsPerSection is the maximum number of settings in a section of one
// file.
const maxSettingsPerSection = 100

// byteOrderMark may be the first character of a UTF-8 file.
const byteOrderMark = "\ufeff"

// scanner records the lines of the sections and settings in one file, because
// the INI library does not report them. Rejected lines become findings and are
// left out of the text that the library parses.
type scanner struct {
	file     string
	findings *finding.List
	// sections are the sections whose headers were accepted, in the order of the
	// file.
	sections []fileSection
	// accepted is the text without the rejected lines.
	accepted strings.Builder
	// skip says whether settings are skipped up to the next header, because the
	// last header was rejected or its section has too many settings.
	skip bool
}

// fileSection is a section of one file, before it is merged with those of the
// same title.
type fileSection struct {
	title string
	// line is the line of the header.
	line int
	// settings are in the order of the file. Each name occurs once.
	settings []settingLine
}

// settingLine is the name of a setting and its line.
type settingLine struct {
	name string
	line int
}

// has reports whether the section contains a setting.
func (p *fileSection) has(name string) bool {
	for i := range p.settings {
		if p.settings[i].name == name {
			return true
		}
	}
	return false
}

// scan scans the text of a file.
func (s *scanner) scan(text string) {
	s.accepted.Grow(len(text))
	text = strings.TrimPrefix(text, byteOrderMark)
	for lineNumber := 1; text != ""; lineNumber++ {
		var line string
		line, text, _ = strings.Cut(text, "\n")
		s.scanLine(lineNumber, strings.TrimSpace(line))
	}
}

// scanLine scans one line, given without its surrounding white space.
func (s *scanner) scanLine(lineNumber int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case !isPrintable(line):
		s.reject(lineNumber, "", "the line is not printable UTF-8 text")
	case line[0] == '[':
		s.scanHeader(lineNumber, line)
	default:
		s.scanSetting(lineNumber, line)
	}
}

// scanHeader scans the header of a section.
func (s *scanner) scanHeader(lineNumber int, line string) {
	s.skip = true
	name, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	title := strings.Join(strings.Fields(name), " ")
	switch {
	case !closed:
		s.reject(lineNumber, "", "the section header has no closing bracket")
	case rest != "" && rest[0] != '#' && rest[0] != ';':
		s.reject(lineNumber, "", "there is text after the section header")
	case title == "":
		s.reject(lineNumber, "", "the section header is empty")
	case strings.Contains(title, apikey.Prefix):
		s.reject(lineNumber, "", "the section header contains what looks like a key")
	default:
		s.skip = false
		s.sections = append(s.sections, fileSection{title: title, line: lineNumber})
		s.accepted.WriteString("[" + title + "]\n")
	}
}

// scanSetting scans a line that is neither a header nor a comment.
func (s *scanner) scanSetting(lineNumber int, line string) {
	if len(s.sections) == 0 && !s.skip {
		s.reject(lineNumber, "", "the setting is before the first section")
		return
	}
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	section := s.title()
	switch {
	case !found:
		s.reject(lineNumber, section, "the line is neither a section header, nor a setting with an equals sign, nor a comment")
	case !isKebabCase(name):
		s.reject(lineNumber, section, "a setting name must start with a lower-case letter and contain only lower-case letters, digits and hyphens")
	case strings.HasPrefix(value, "`"), strings.HasPrefix(value, `"""`):
		s.reject(lineNumber, section, "a value must be on one line and must not start with a back quote or triple quotes")
	case !s.skip:
		s.accept(lineNumber, name, line)
	}
}

// accept records a setting, unless the section already contains it or is full.
func (s *scanner) accept(lineNumber int, name, line string) {
	current := &s.sections[len(s.sections)-1]
	if current.has(name) {
		s.findings.Add(finding.Finding{
			Kind: finding.Duplicate, File: s.file, Line: lineNumber, Section: current.title, Setting: name,
			Message: "the setting occurs more than once in this section of the file",
		})
		return
	}
	if len(current.settings) == maxSettingsPerSection {
		s.reject(lineNumber, current.title, "the section contains more than "+strconv.Itoa(maxSettingsPerSection)+" settings")
		s.skip = true
		return
	}
	current.settings = append(current.settings, settingLine{name: name, line: lineNumber})
	s.accepted.WriteString(line + "\n")
}

// title returns the title of the current section, or an empty string if there
// is none or settings are skipped.
func (s *scanner) title() string {
	if s.skip || len(s.sections) == 0 {
		return ""
	}
	return s.sections[len(s.sections)-1].title
}

// reject adds a syntax finding. It does not quote the line, because the line
// may hold a secret.
func (s *scanner) reject(lineNumber int, section, message string) {
	s.findings.Add(finding.Finding{
		Kind: finding.Syntax, File: s.file, Line: lineNumber, Section: section, Message: message,
	})
}

// isPrintable reports whether the text is valid UTF-8 without control
// characters other than tabs.
func isPrintable(text string) bool {
	for _, r := range text {
		if r == utf8.RuneError || unicode.IsControl(r) && r != '\t' {
			return false
		}
	}
	return true
}

// isKebabCase reports whether the name is made of lower-case letters, digits
// and hyphens and starts with a letter.
func isKebabCase(name string) bool {
	for i, r := range name {
		letter := r >= 'a' && r <= 'z'
		other := r >= '0' && r <= '9' || r == '-'
		if !letter && (i == 0 || !other) {
			return false
		}
	}
	return name != ""
}
