package ini

import (
	"acaciapath.example/core/finding"
	"acaciapath.example/core/value"
)

// maxComparedNames is the maximum number of known names that a Decoder compares
// in all its searches for suggestions. It keeps input with many unknown names
// fast when there are many known names.
const maxComparedNames = 500_000

// Decoder holds the state that is shared while all sections are decoded.
type Decoder struct {
	// Findings receives the problems found.
	Findings *finding.List

	// sectionNames holds the names of the sections of each kind.
	sectionNames map[string]map[string]struct{}
	// compared is the number of known names that were compared so far.
	compared int
}

// NewDecoder returns a decoder that resolves references to the given sections
// and adds problems to findings.
func NewDecoder(sections []*Section, findings *finding.List) *Decoder {
	d := &Decoder{Findings: findings, sectionNames: make(map[string]map[string]struct{})}
	for _, s := range sections {
		if d.sectionNames[s.Kind] == nil {
			d.sectionNames[s.Kind] = make(map[string]struct{})
		}
		d.sectionNames[s.Kind][s.Name] = struct{}{}
	}
	return d
}

// CheckKinds adds a finding for each section whose kind is not in known.
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

// checkReferences adds a finding for each name in a comma-separated list that is
// not the name of a section of the given kind.
func (d *Decoder) checkReferences(section *Section, setting, kind, text string) {
	for _, name := range value.SplitList(text) {
		if _, ok := d.sectionNames[kind][name]; !ok {
			d.Findings.Add(section.Finding(finding.UnresolvedReference, setting,
				"there is no ["+kind+"] named "+value.Quote(name)+d.suggest(name, d.sectionNames[kind])))
		}
	}
}

// suggest returns the result of value.Suggest, or an empty string once
// maxComparedNames names were compared.
func (d *Decoder) suggest(name string, known map[string]struct{}) string {
	d.compared += len(known)
	if d.compared > maxComparedNames {
		return ""
	}
	return value.Suggest(name, known)
}
