package ini

import (
	"fmt"
	"strings"
)

// SectionDescription is the part of the reference page about a kind of section.
type SectionDescription struct {
	// Title is the section's title, with NAME in place of a name.
	Title string
	// Help explains what the section is for.
	Help string
	// Settings are in the order of the page.
	Settings []SettingDescription
}

// SettingDescription is the row of the reference page about a setting.
type SettingDescription struct {
	// Name is the name of the setting.
	Name string
	// Type describes the type and its unit.
	Type string
	// Range describes the allowed values. It is empty if Type already does.
	Range string
	// Required reports whether the setting must be present.
	Required bool
	// Default is the value that is used if the setting is missing, or empty.
	Default string
	// RefersTo is the kind of section that the value refers to by name, or empty.
	RefersTo string
	// Help explains the setting.
	Help string
}

// Describe returns the description of the kind for the reference page.
func (k *SectionKind[T]) Describe() SectionDescription {
	d := SectionDescription{Title: k.Name, Help: k.Help}
	if k.SetName != nil {
		d.Title += " NAME"
	}
	for _, s := range k.Settings {
		d.Settings = append(d.Settings, SettingDescription{
			Name: s.Name, Type: s.Binding.Type, Range: s.Binding.Range,
			Required: s.Required, Default: s.Default, RefersTo: s.RefersTo, Help: s.Help,
		})
	}
	return d
}

// Markdown returns the section's part of the reference page.
func (d SectionDescription) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "### `[%s]`\n\n%s\n\n", d.Title, d.Help)
	b.WriteString("| setting | value | range | default | meaning |\n|---|---|---|---|---|\n")
	for _, s := range d.Settings {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", s.Name, s.typeCell(), s.Range, s.defaultCell(), s.Help)
	}
	return b.String()
}

func (s SettingDescription) typeCell() string {
	if s.RefersTo == "" {
		return s.Type
	}
	return s.Type + " of `[" + s.RefersTo + "]`"
}

func (s SettingDescription) defaultCell() string {
	switch {
	case s.Required:
		return "required"
	case s.Default == "":
		return "none"
	default:
		return "`" + s.Default + "`"
	}
}
