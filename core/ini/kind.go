package ini

import (
	"acaciapath.example/core/finding"
	"acaciapath.example/core/value"
)

// Binding ties a setting to a field of T.
type Binding[T any] struct {
	// Type and Range are those of the parser.
	Type, Range string
	// Set parses the text into the field. It returns an error that tells a
	// person what is wrong, and then leaves the field alone.
	Set func(target *T, text string) error
}

// Bind returns the binding of a field that a parser fills.
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

// Setting describes a setting of a section whose values go into a T.
type Setting[T any] struct {
	// Name is in kebab case and unique within its Kind.
	Name string
	// Help tells what the setting does, in one sentence or more.
	Help string
	// Required says whether a section without the setting is a finding.
	Required bool
	// Default is the text that stands for a missing value. If it is empty, the
	// field keeps its zero value.
	Default string
	// RefersTo is the kind of section that the value names, or empty.
	RefersTo string
	// Binding fills the field.
	Binding Binding[T]
}

// SectionKind describes a kind of section whose values go into a T.
type SectionKind[T any] struct {
	// Name is the first word of the section's title.
	Name string
	// Help tells what the section is for.
	Help string
	// SetName takes the name in the title; nil means that titles hold none.
	SetName func(target *T, name string)
	// NameParser checks the name in the title. It is set if SetName is.
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

// Decode fills target from a section and adds what is wrong to the decoder's
// findings. Fields with a finding keep their zero value.
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

// SetDefaults fills target as an empty section would.
func (k *SectionKind[T]) SetDefaults(target *T) {
	for _, s := range k.Settings {
		if s.Default != "" {
			mustSet(s, target)
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
			mustSet(*s, target)
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

// mustSet fills a field from the default of its setting. It panics if the
// default does not parse, which is a fault of the table.
func mustSet[T any](s Setting[T], target *T) {
	if err := s.Binding.Set(target, s.Default); err != nil {
		panic("ini: default of " + s.Name + ": " + err.Error())
	}
}
