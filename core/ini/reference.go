package ini

import (
	"fmt"
	"strings"
)

// Description is what the reference page says about a kind of section.
type Description struct {
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
	// Refers is the kind of section that the value names, or empty.
	Refers string
	// Help tells what the setting does.
	Help string
}

// Describe returns the description of a kind.
func (k *Kind[T]) Describe() Description {
	d := Description{Title: k.Name, Help: k.Help}
	if k.SetName != nil {
		d.Title += " NAME"
	}
	for _, s := range k.Settings {
		d.Settings = append(d.Settings, SettingDescription{
			Name: s.Name, Type: s.Binding.Type, Range: s.Binding.Range,
			Required: s.Required, Default: s.Default, Refers: s.Refers, Help: s.Help,
		})
	}
	return d
}

// Markdown returns the part of the reference page for one kind of section.
func (d Description) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "### `[%s]`\n\n%s\n\n", d.Title, d.Help)
	b.WriteString("| setting | value | range | default | meaning |\n|---|---|---|---|---|\n")
	for _, s := range d.Settings {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", s.Name, s.typeCell(), s.Range, s.defaultCell(), s.Help)
	}
	return b.String()
}

func (s SettingDescription) typeCell() string {
	if s.Refers == "" {
		return s.Type
	}
	return s.Type + " of `[" + s.Refers + "]`"
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
