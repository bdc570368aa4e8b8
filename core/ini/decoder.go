package ini

import "acaciapath.example/core/finding"

// maxSuggestions bounds the searches for the nearest known name, each of which
// looks at all names.
const maxSuggestions = 100

// Decoder holds what the decoding of all sections has in common.
type Decoder struct {
	// Findings takes what is wrong.
	Findings *finding.List

	names       map[string]map[string]struct{}
	suggestions int
}

// NewDecoder returns a decoder that knows the names of the sections.
func NewDecoder(sections []*Section, findings *finding.List) *Decoder {
	d := &Decoder{Findings: findings, names: make(map[string]map[string]struct{})}
	for _, s := range sections {
		if d.names[s.Kind] == nil {
			d.names[s.Kind] = make(map[string]struct{})
		}
		d.names[s.Kind][s.Name] = struct{}{}
	}
	return d
}

// CheckKinds adds a finding for each section whose kind is not among the known.
func (d *Decoder) CheckKinds(sections []*Section, known ...string) {
	kinds := make(map[string]struct{}, len(known))
	for _, k := range known {
		kinds[k] = struct{}{}
	}
	for _, s := range sections {
		if _, ok := kinds[s.Kind]; !ok {
			d.Findings.Add(s.Finding(finding.Unknown, "",
				"there is no such kind of section"+d.suggest(s.Kind, kinds)))
		}
	}
}

// checkReferences adds a finding for each name in the text that no section of
// the kind has.
func (d *Decoder) checkReferences(section *Section, setting, kind, text string) {
	for _, name := range SplitList(text) {
		if _, ok := d.names[kind][name]; !ok {
			d.Findings.Add(section.Finding(finding.Reference, setting,
				"there is no ["+kind+"] named "+Quote(name)+d.suggest(name, d.names[kind])))
		}
	}
}

// suggest returns a suggestion, or an empty string once there have been many.
func (d *Decoder) suggest(name string, known map[string]struct{}) string {
	d.suggestions++
	if d.suggestions > maxSuggestions {
		return ""
	}
	return Suggest(name, known)
}

// Suggest returns the end of a message that offers the nearest known name, or
// an empty string if none is near.
func Suggest(name string, known map[string]struct{}) string {
	if near, ok := Nearest(name, known); ok {
		return "; did you mean " + near + "?"
	}
	return ""
}
