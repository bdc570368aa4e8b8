package ini

import (
	"acaciapath.example/core/finding"
	"acaciapath.example/core/value"
)

// maxCompared bounds the known names that all searches for suggestions look at
// together, so that many wrong names among many known ones take no longer than a
// few.
const maxCompared = 500_000

// Decoder holds what the decoding of all sections has in common.
type Decoder struct {
	// Findings takes what is wrong.
	Findings *finding.List

	// names are those of the sections of each kind.
	names map[string]map[string]struct{}
	// compared counts the names that searches for suggestions looked at.
	compared int
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
	for _, name := range value.SplitList(text) {
		if _, ok := d.names[kind][name]; !ok {
			d.Findings.Add(section.Finding(finding.UnresolvedReference, setting,
				"there is no ["+kind+"] named "+value.Quote(name)+d.suggest(name, d.names[kind])))
		}
	}
}

// suggest returns a suggestion, or an empty string once maxCompared is reached.
func (d *Decoder) suggest(name string, known map[string]struct{}) string {
	d.compared += len(known)
	if d.compared > maxCompared {
		return ""
	}
	return value.Suggest(name, known)
}
