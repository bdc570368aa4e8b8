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
	// headers are the sections in the order of the file.
	headers []header
	// accepted is the text without the rejected lines.
	accepted strings.Builder
	// skip reports that settings are skipped up to the next header, because the
	// last header was rejected or its section has too many settings.
	skip bool
}

// header is one section of a file.
type header struct {
	title string
	line  int
	// settings are in the order of the file. Each name occurs once.
	settings []settingLine
}

// settingLine is the name of a setting and its line.
type settingLine struct {
	name string
	line int
}

// has reports whether the section contains a setting.
func (h *header) has(name string) bool {
	for i := range h.settings {
		if h.settings[i].name == name {
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
		s.reject(lineNumber, "", "the section's header lacks its closing bracket")
	case rest != "" && rest[0] != '#' && rest[0] != ';':
		s.reject(lineNumber, "", "there is text after the section's header")
	case title == "":
		s.reject(lineNumber, "", "the section's header is empty")
	case strings.Contains(title, apikey.Prefix):
		s.reject(lineNumber, "", "the section's header holds what looks like a key")
	default:
		s.skip = false
		s.headers = append(s.headers, header{title: title, line: lineNumber})
		s.accepted.WriteString("[" + title + "]\n")
	}
}

// scanSetting scans a line that is neither a header nor a comment.
func (s *scanner) scanSetting(lineNumber int, line string) {
	if len(s.headers) == 0 && !s.skip {
		s.reject(lineNumber, "", "the setting stands before the first section")
		return
	}
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	section := s.title()
	switch {
	case !found:
		s.reject(lineNumber, section, "the line is neither a section, a setting with an equals sign nor a comment")
	case !isKebabCase(name):
		s.reject(lineNumber, section, "a setting's name is made of lower-case letters, digits and hyphens")
	case strings.HasPrefix(value, "`"), strings.HasPrefix(value, `"""`):
		s.reject(lineNumber, section, "a value stands on one line and is not in back quotes or triple quotes")
	case !s.skip:
		s.accept(lineNumber, name, line)
	}
}

// accept records a setting, unless the section already contains it or is full.
func (s *scanner) accept(lineNumber int, name, line string) {
	h := &s.headers[len(s.headers)-1]
	if h.has(name) {
		s.findings.Add(finding.Finding{
			Kind: finding.Duplicate, File: s.file, Line: lineNumber, Section: h.title, Setting: name,
			Message: "the setting stands twice in the section of this file",
		})
		return
	}
	if len(h.settings) == maxSettingsPerSection {
		s.reject(lineNumber, h.title, "the section holds more than "+strconv.Itoa(maxSettingsPerSection)+" settings")
		s.skip = true
		return
	}
	h.settings = append(h.settings, settingLine{name: name, line: lineNumber})
	s.accepted.WriteString(line + "\n")
}

// title returns the title of the current section, or an empty string if there
// is none or settings are skipped.
func (s *scanner) title() string {
	if s.skip || len(s.headers) == 0 {
		return ""
	}
	return s.headers[len(s.headers)-1].title
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
