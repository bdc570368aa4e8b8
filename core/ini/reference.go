package ini

import (
	"fmt"
	"strings"
)

// SectionDescription is what the reference page says about a kind of section.
type SectionDescription struct {
	// Title is the section's title, with NAME where a name goes.
	Title string
	// Help tells what the section is for.
	Help string
	// Settings are in the order of the page.
	Settings []SettingDescription
}

// SettingDescription is what the reference page says about a setting.
type SettingDescription struct {
	// Name is the name of the setting.
	Name string
	// Type names the type and unit.
	Type string
	// Range says which values are allowed, or is empty.
	Range string
	// Required says whether the setting must be there.
	Required bool
	// Default is the value of a missing setting, or empty.
	Default string
	// RefersTo is the kind of section that the value names, or empty.
	RefersTo string
	// Help tells what the setting does.
	Help string
}

// Describe returns the description of a kind.
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

// Markdown returns the part of the reference page for one kind of section.
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
