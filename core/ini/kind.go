package ini

import (
	"acaciapath.example/core/finding"
	"acaciapath.example/core/value"
)

// Binding connects a setting to a field of T.
type Binding[T any] struct {
	// Type and Range are those of the field's value.Parser.
	Type, Range string
	// Set parses the text and stores the value in the field. If the text is
	// invalid, it leaves the field unchanged and returns an error that explains
	// the problem to the user.
	Set func(target *T, text string) error
}

// Bind returns a binding that parses a setting with parser and stores the value
// in the given field.
func Bind[T, V any](field func(*T) *V, parser value.Parser[V]) Binding[T] {
	return Binding[T]{Type: parser.Type, Range: parser.Range, Set: func(target *T, text string) error {
		v, err := parser.Parse(text)
		if err != nil {
			return err
		}
		*field(target) = v
		return nil
	}}
}

// Setting declares a setting of a section that is decoded into a T.
type Setting[T any] struct {
	// Name is in kebab case and unique in its SectionKind.
	Name string
	// Help explains the setting in one or more sentences.
	Help string
	// Required reports whether a missing setting is a finding.
	Required bool
	// Default is the text that is used if the setting is missing. If it is empty,
	// the field keeps its zero value.
	Default string
	// RefersTo is the kind of section that the value refers to by name, or empty.
	RefersTo string
	// Binding parses and stores the value.
	Binding Binding[T]
}

// SectionKind declares a kind of section that is decoded into a T.
type SectionKind[T any] struct {
	// Name is the first word of the section's title.
	Name string
	// Help explains what the section is for.
	Help string
	// SetName stores the name from the section's title in target; nil means that
	// sections of this kind have no name.
	SetName func(target *T, name string)
	// NameParser checks that name. It is set if SetName is set.
	NameParser value.Parser[string]
	// Settings are in the order of the reference page.
	Settings []Setting[T]
}

// Setting returns the setting with the given name, or nil.
func (k *SectionKind[T]) Setting(name string) *Setting[T] {
	for i := range k.Settings {
		if k.Settings[i].Name == name {
			return &k.Settings[i]
		}
	}
	return nil
}

// Decode fills target from a section and adds problems to the decoder's
// findings. A field whose value is invalid is left unchanged.
func (k *SectionKind[T]) Decode(d *Decoder, section *Section, target *T) {
	k.decodeName(d, section, target)
	for i := range k.Settings {
		k.decodeSetting(d, section, target, &k.Settings[i])
	}
	for _, v := range section.Values {
		if k.Setting(v.Setting) == nil {
			d.Findings.Add(section.Finding(finding.Unknown, v.Setting,
				"there is no such setting"+d.suggest(v.Setting, k.settingNames())))
		}
	}
}

// SetDefaults stores the defaults of all settings in target.
func (k *SectionKind[T]) SetDefaults(target *T) {
	for _, s := range k.Settings {
		if s.Default != "" {
			mustSetDefault(s, target)
		}
	}
}

func (k *SectionKind[T]) decodeName(d *Decoder, section *Section, target *T) {
	if k.SetName == nil {
		if section.Name != "" {
			d.Findings.Add(section.Finding(finding.Unknown, "", "sections of this kind have no name"))
		}
		return
	}
	if section.Name == "" {
		d.Findings.Add(section.Finding(finding.Missing, "", "the section needs a name, as in ["+k.Name+" NAME]"))
		return
	}
	name, err := k.NameParser.Parse(section.Name)
	if err != nil {
		d.Findings.Add(section.Finding(finding.InvalidValue, "", err.Error()))
		return
	}
	k.SetName(target, name)
}

func (k *SectionKind[T]) decodeSetting(d *Decoder, section *Section, target *T, s *Setting[T]) {
	v := section.Value(s.Name)
	if v == nil {
		if s.Required {
			d.Findings.Add(section.Finding(finding.Missing, s.Name, "the setting is required"))
		}
		if s.Default != "" {
			mustSetDefault(*s, target)
		}
		return
	}
	if err := s.Binding.Set(target, v.Text); err != nil {
		d.Findings.Add(section.Finding(finding.InvalidValue, s.Name, err.Error()))
		return
	}
	if s.RefersTo != "" {
		d.checkReferences(section, s.Name, s.RefersTo, v.Text)
	}
}

func (k *SectionKind[T]) settingNames() map[string]struct{} {
	names := make(map[string]struct{}, len(k.Settings))
	for _, s := range k.Settings {
		names[s.Name] = struct{}{}
	}
	return names
}

// mustSetDefault stores the default of a setting in target. It panics if the
// default is invalid, which is a mistake in the declaration of the setting.
func mustSetDefault[T any](s Setting[T], target *T) {
	if err := s.Binding.Set(target, s.Default); err != nil {
		panic("ini: default of " + s.Name + ": " + err.Error())
	}
}
