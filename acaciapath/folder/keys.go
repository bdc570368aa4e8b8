package folder

import (
	"slices"
	"strings"

	"acaciapath.example/core/config"
	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"

	"github.com/ansel1/merry/v2"
)

// DefaultKeysFile is the file that the first key of a client account goes to.
const DefaultKeysFile = "keys" + extension

// Names of the settings of a key.
const (
	keyKind          = "key"
	accountSetting   = "client-account"
	withdrawnSetting = "withdrawn"
)

// Errors of keys.
var (
	// ErrKeyExists is returned for a key whose name is taken.
	ErrKeyExists = merry.Sentinel("folder: there is a key of this name")
	// ErrKeyNotFound is returned for a key that the folder does not declare.
	ErrKeyNotFound = merry.Sentinel("folder: there is no key of this name")
)

// AddKey returns the file that declares the key as well. An empty name stands
// for the file that holds the last key of the client account, or else for
// DefaultKeysFile. It returns ErrKeyExists.
func AddKey(files []config.File, name string, key config.Key) (config.File, error) {
	sections := keySections(files)
	if slices.ContainsFunc(sections, func(s *ini.Section) bool { return s.Name == key.Name }) {
		return config.File{}, merry.Wrap(ErrKeyExists, merry.AppendMessage(key.Name))
	}
	if name == "" {
		name = keysFile(sections, key.ClientAccount)
	}
	file := config.File{Name: name}
	if i := indexOf(files, name); i >= 0 {
		file = files[i]
	}
	file.Text = appendSection(file.Text, config.KeySection(key))
	return file, nil
}

// WithdrawKey returns the file that withdraws the key. It returns
// ErrKeyUnknown. The comments and the order of the file are kept.
func WithdrawKey(files []config.File, name string) (config.File, error) {
	sections := keySections(files)
	i := slices.IndexFunc(sections, func(s *ini.Section) bool { return s.Name == name })
	if i < 0 {
		return config.File{}, merry.Wrap(ErrKeyNotFound, merry.AppendMessage(name))
	}
	section := sections[i]
	const line = withdrawnSetting + " = true"
	if v := section.Value(withdrawnSetting); v != nil {
		return editLine(files, v.Position, line, true), nil
	}
	last := section.Position
	for _, v := range section.Values {
		if v.Position.File == last.File && v.Position.Line > last.Line {
			last = v.Position
		}
	}
	return editLine(files, last, line, false), nil
}

// WithFile returns the files with one of them replaced or added.
func WithFile(files []config.File, file config.File) []config.File {
	changed := slices.Clone(files)
	if i := indexOf(changed, file.Name); i >= 0 {
		changed[i] = file
		return changed
	}
	return append(changed, file)
}

// keySections returns the sections that declare keys.
func keySections(files []config.File) []*ini.Section {
	var ignored finding.List
	sections := ini.Parse(files, &ignored)
	return slices.DeleteFunc(sections, func(s *ini.Section) bool { return s.Kind != keyKind })
}

// keysFile returns the file that holds the last key of the client account.
func keysFile(sections []*ini.Section, account string) string {
	name := DefaultKeysFile
	for _, s := range sections {
		if v := s.Value(accountSetting); v != nil && v.Text == account {
			name = s.Position.File
		}
	}
	return name
}

// appendSection adds a section to a text, after a blank line.
func appendSection(text, section string) string {
	if text == "" {
		return section
	}
	return strings.TrimRight(text, "\n") + "\n\n" + section
}

// editLine replaces the line at a place, or inserts one after it.
func editLine(files []config.File, place ini.Position, line string, replace bool) config.File {
	file := files[indexOf(files, place.File)]
	lines := strings.SplitAfter(file.Text, "\n")
	end := place.Line
	start := end
	if replace {
		start--
	} else if !strings.HasSuffix(lines[end-1], "\n") {
		lines[end-1] += "\n"
	}
	file.Text = strings.Join(slices.Replace(lines, start, end, line+"\n"), "")
	return file
}

func indexOf(files []config.File, name string) int {
	return slices.IndexFunc(files, func(f config.File) bool { return f.Name == name })
}
