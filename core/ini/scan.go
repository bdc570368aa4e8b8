package ini

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/finding"
)

// maxSettings is the greatest number of settings in a section of one file.
const maxSettings = 100

// byteOrderMark may start a file in UTF-8.
const byteOrderMark = "\ufeff"

// scanner finds the places of sections and settings in one file, because the
// INI library gives no line numbers. Lines that it refuses become findings and
// are left out of the text that the library parses.
type scanner struct {
	file     string
	findings *finding.List
	// headers are the sections in the order of the file.
	headers []header
	// accepted is the text without the refused lines.
	accepted strings.Builder
	// skip says that the last header was refused.
	skip bool
}

// header is one section of a file.
type header struct {
	title string
	line  int
	// settings are the names in the order of the file. No two are the same.
	settings []position
}

// position is the place of a setting's name.
type position struct {
	name string
	line int
}

// has reports whether a setting stands in the section.
func (h *header) has(name string) bool {
	for i := range h.settings {
		if h.settings[i].name == name {
			return true
		}
	}
	return false
}

// scan fills the scanner from the text of its file.
func (s *scanner) scan(text string) {
	s.accepted.Grow(len(text))
	text = strings.TrimPrefix(text, byteOrderMark)
	for number := 1; text != ""; number++ {
		var line string
		line, text, _ = strings.Cut(text, "\n")
		s.scanLine(number, strings.TrimSpace(line))
	}
}

// scanLine takes in one line without its surrounding white space.
func (s *scanner) scanLine(number int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case !printable(line):
		s.refuse(number, "", "the line is not printable UTF-8 text")
	case line[0] == '[':
		s.scanHeader(number, line)
	default:
		s.scanSetting(number, line)
	}
}

// scanHeader takes in the header of a section.
func (s *scanner) scanHeader(number int, line string) {
	s.skip = true
	name, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	title := strings.Join(strings.Fields(name), " ")
	switch {
	case !closed:
		s.refuse(number, "", "the section's header lacks its closing bracket")
	case rest != "" && rest[0] != '#' && rest[0] != ';':
		s.refuse(number, "", "there is text after the section's header")
	case title == "":
		s.refuse(number, "", "the section's header is empty")
	case strings.Contains(title, apikey.Prefix):
		s.refuse(number, "", "the section's header holds what looks like a key")
	default:
		s.skip = false
		s.headers = append(s.headers, header{title: title, line: number})
		s.accepted.WriteString("[" + title + "]\n")
	}
}

// scanSetting takes in a line that is neither a header nor a comment.
func (s *scanner) scanSetting(number int, line string) {
	if len(s.headers) == 0 && !s.skip {
		s.refuse(number, "", "the setting stands before the first section")
		return
	}
	name, value, found := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	section := s.title()
	switch {
	case !found:
		s.refuse(number, section, "the line is neither a section, a setting with an equals sign nor a comment")
	case !kebabCase(name):
		s.refuse(number, section, "a setting's name is made of lower-case letters, digits and hyphens")
	case strings.HasPrefix(value, "`"), strings.HasPrefix(value, `"""`):
		s.refuse(number, section, "a value stands on one line and is not in back quotes or triple quotes")
	case !s.skip:
		s.accept(number, name, line)
	}
}

// accept takes in a setting, unless it stands twice in its section.
func (s *scanner) accept(number int, name, line string) {
	h := &s.headers[len(s.headers)-1]
	if h.has(name) {
		s.findings.Add(finding.Finding{
			Kind: finding.Duplicate, File: s.file, Line: number, Section: h.title, Setting: name,
			Message: "the setting stands twice in the section of this file",
		})
		return
	}
	if len(h.settings) == maxSettings {
		s.refuse(number, h.title, "the section holds more than "+strconv.Itoa(maxSettings)+" settings")
		s.skip = true
		return
	}
	h.settings = append(h.settings, position{name: name, line: number})
	s.accepted.WriteString(line + "\n")
}

// title returns the title of the section that a line belongs to.
func (s *scanner) title() string {
	if s.skip || len(s.headers) == 0 {
		return ""
	}
	return s.headers[len(s.headers)-1].title
}

// refuse adds a syntax finding. The line itself is not quoted, because it may
// hold a secret.
func (s *scanner) refuse(number int, section, message string) {
	s.findings.Add(finding.Finding{
		Kind: finding.Syntax, File: s.file, Line: number, Section: section, Message: message,
	})
}

// printable reports whether the text is UTF-8 without control characters other
// than tabs.
func printable(text string) bool {
	for _, r := range text {
		if r == utf8.RuneError || unicode.IsControl(r) && r != '\t' {
			return false
		}
	}
	return true
}

// kebabCase reports whether the name is made of lower-case letters, digits and
// hyphens and starts with a letter.
func kebabCase(name string) bool {
	for i, r := range name {
		letter := r >= 'a' && r <= 'z'
		other := r >= '0' && r <= '9' || r == '-'
		if !letter && (i == 0 || !other) {
			return false
		}
	}
	return name != ""
}
