package folder

import (
	"slices"
	"strings"

	"acaciapath.example/core/config"
	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"

	"github.com/ansel1/merry/v2"
)

// DefaultKeysFile is the name of the file to which the first key of a client account is
// added.
const DefaultKeysFile = "keys" + extension

// Section kind and setting names of a key in the configuration files.
const (
	keySectionKind   = "key"
	accountSetting   = "client-account"
	withdrawnSetting = "withdrawn"
)

// Errors of AddKey and WithdrawKey.
var (
	// ErrKeyExists is returned by AddKey if the folder already declares a key with the
	// name.
	ErrKeyExists = merry.Sentinel("folder: a key with this name already exists")
	// ErrKeyNotFound is returned by WithdrawKey if the folder does not declare a key with
	// the name.
	ErrKeyNotFound = merry.Sentinel("folder: no key with this name")
)

// AddKey returns the file with the given name with a section for the key appended. If
// name is empty, it uses the file with the last key of the client account or, if there is
// none, DefaultKeysFile. It returns ErrKeyExists if the name of the key is in use.
func AddKey(files []config.File, name string, key config.Key) (config.File, error) {
	sections := keySections(files)
	if slices.ContainsFunc(sections, func(s *ini.Section) bool { return s.Name == key.Name }) {
		return config.File{}, merry.Wrap(ErrKeyExists, merry.AppendMessage(key.Name))
	}
	if name == "" {
		name = lastKeysFile(sections, key.ClientAccount)
	}
	file := config.File{Name: name}
	if i := indexOf(files, name); i >= 0 {
		file = files[i]
	}
	file.Text = appendSection(file.Text, config.KeySection(key))
	return file, nil
}

// WithdrawKey returns the file that declares the key, changed so that the key is
// withdrawn. Comments and the order of settings are kept. It returns ErrKeyNotFound if no
// file declares the key.
func WithdrawKey(files []config.File, name string) (config.File, error) {
	sections := keySections(files)
	i := slices.IndexFunc(sections, func(s *ini.Section) bool { return s.Name == name })
	if i < 0 {
		return config.File{}, merry.Wrap(ErrKeyNotFound, merry.AppendMessage(name))
	}
	section := sections[i]
	const line = withdrawnSetting + " = true"
	if v := section.Value(withdrawnSetting); v != nil {
		return writeLine(files, v.Position, line, true), nil
	}
	last := section.Position
	for _, v := range section.Values {
		if v.Position.File == last.File && v.Position.Line > last.Line {
			last = v.Position
		}
	}
	return writeLine(files, last, line, false), nil
}

// WithFile returns a copy of files in which the file of the same name is replaced by
// file, or to which file is added.
func WithFile(files []config.File, file config.File) []config.File {
	result := slices.Clone(files)
	if i := indexOf(result, file.Name); i >= 0 {
		result[i] = file
		return result
	}
	return append(result, file)
}

// keySections returns the sections that declare keys. It ignores syntax errors.
func keySections(files []config.File) []*ini.Section {
	var ignored finding.List
	sections := ini.Parse(files, &ignored)
	return slices.DeleteFunc(sections, func(s *ini.Section) bool { return s.Kind != keySectionKind })
}

// lastKeysFile returns the name of the file with the last key of the client account, or
// DefaultKeysFile if it has no keys.
func lastKeysFile(sections []*ini.Section, account string) string {
	name := DefaultKeysFile
	for _, s := range sections {
		if v := s.Value(accountSetting); v != nil && v.Text == account {
			name = s.Position.File
		}
	}
	return name
}

// appendSection returns the text with a section appended after a blank line.
func appendSection(text, section string) string {
	if text == "" {
		return section
	}
	return strings.TrimRight(text, "\n") + "\n\n" + section
}

// writeLine returns the file at the position with its line there replaced, or with a
// line inserted after it.
func writeLine(files []config.File, position ini.Position, line string, replace bool) config.File {
	file := files[indexOf(files, position.File)]
	lines := strings.SplitAfter(file.Text, "\n")
	end := position.Line
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
