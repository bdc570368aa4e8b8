package settings

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/pflag"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"
)

const (
	// fileFlag is the name of the flag for the settings file.
	fileFlag = "settings"
	// commandLine replaces the file name in findings about flags.
	commandLine = "command line"
	// maxFileBytes is the maximum size of a settings file.
	maxFileBytes = 1 << 20
)

// Flags are the command-line flags that set and override the settings of a
// program.
type Flags struct {
	set   *pflag.FlagSet
	role  Role
	kinds []ini.SectionKind[Settings]
}

// NewFlags adds --settings, and a flag for each setting that the role uses, to
// a flag set.
func NewFlags(set *pflag.FlagSet, role Role) *Flags {
	f := &Flags{set: set, role: role, kinds: kinds(role)}
	set.String(fileFlag, "", "INI `file` with settings; each can be overridden by a flag")
	for _, k := range f.kinds {
		if !role.isDaemon() && !slices.Contains(commandSections, k.Name) {
			continue
		}
		for _, s := range k.Settings {
			set.String(flagName(k.Name, s.Name), s.Default, s.Help)
		}
	}
	return f
}

// Load returns the settings in the file, if one was given, overridden by the
// flags. If anything is wrong, Load returns all problems as a *finding.List. A
// finding about a flag has the file "command line" and the flag as its setting.
// Settings that the role does not use are checked but not required, so that
// programs can share a file. Load must be called after the flags were parsed.
func (f *Flags) Load() (*Settings, error) {
	var findings finding.List
	sections, ok := f.sections(&findings)
	if !ok {
		return nil, findings.Err()
	}
	var s Settings
	decoder := ini.NewDecoder(sections, &findings)
	decoder.CheckKinds(sections, f.kindNames()...)
	byKind := make(map[string]*ini.Section)
	for _, section := range sections {
		if section.Name == "" {
			byKind[section.Kind] = section
		} else {
			findings.Add(section.Finding(finding.Unknown, "", "sections of a settings file must not have a name"))
		}
	}
	for _, k := range f.kinds {
		k.Decode(decoder, byKind[k.Name], &s)
	}
	f.check(&s, byKind, &findings)
	if err := findings.Err(); err != nil {
		nameFlags(findings.Findings)
		findings.Sort()
		return nil, err
	}
	return &s, nil
}

// sections returns the file's sections, overridden by the flags. The result
// contains at least one section of each kind. It returns false if the file
// cannot be read.
func (f *Flags) sections(findings *finding.List) ([]*ini.Section, bool) {
	file, ok := f.read(findings)
	if !ok {
		return nil, false
	}
	sections := ini.Parse([]ini.File{file}, findings)
	for _, k := range f.kinds {
		i := slices.IndexFunc(sections, func(s *ini.Section) bool { return s.Title() == k.Name })
		if i < 0 {
			i = len(sections)
			sections = append(sections, &ini.Section{Kind: k.Name, Position: ini.Position{File: file.Name}})
		}
		f.apply(sections[i], k)
	}
	return sections, true
}

// read returns the settings file, or an empty file named commandLine if none was
// given. It returns false if the file cannot be read.
func (f *Flags) read(findings *finding.List) (ini.File, bool) {
	flag := f.set.Lookup(fileFlag)
	if !flag.Changed {
		return ini.File{Name: commandLine}, true
	}
	path := flag.Value.String()
	file, problem := ini.ReadFile(os.DirFS(filepath.Dir(path)), filepath.Base(path), maxFileBytes)
	if problem != nil {
		problem.File = path
		findings.Add(*problem)
		return ini.File{}, false
	}
	file.Name = path
	return file, true
}

// apply overrides the settings of a section with the flags that were given.
func (f *Flags) apply(section *ini.Section, k ini.SectionKind[Settings]) {
	for _, s := range k.Settings {
		flag := f.set.Lookup(flagName(k.Name, s.Name))
		if flag == nil || !flag.Changed {
			continue
		}
		section.Set(ini.Value{
			Setting: s.Name, Text: flag.Value.String(), Position: ini.Position{File: commandLine},
		})
	}
}

func (f *Flags) kindNames() []string {
	names := make([]string, len(f.kinds))
	for i, k := range f.kinds {
		names[i] = k.Name
	}
	return names
}

// flagName returns the name of the flag that overrides a setting.
func flagName(section, setting string) string { return section + "-" + setting }

// nameFlags replaces section and setting by the name of the flag in the
// findings about the command line.
func nameFlags(findings []finding.Finding) {
	for i := range findings {
		if f := &findings[i]; f.File == commandLine && f.Section != "" {
			f.Setting = "--" + flagName(f.Section, f.Setting)
			f.Section = ""
		}
	}
}
