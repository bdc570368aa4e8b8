package config

import (
	"cmp"
	"encoding/hex"
	"slices"
	"strings"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"
)

// File is the text of one INI file of a configuration.
type File = ini.File

// Parse returns the configuration that the files declare together. They are merged
// in the order of their names: if several files contain the same section, a
// setting of a later file replaces that of an earlier one. If there are findings,
// Parse returns all of them as a *finding.List.
func Parse(files []File) (*Config, error) {
	var findings finding.List
	sections := ini.Parse(files, &findings)
	decoder := ini.NewDecoder(sections, &findings)
	decoder.CheckKinds(sections, kindNames()...)
	p := decode(decoder, sections)
	p.check(&findings)
	if err := findings.Err(); err != nil {
		findings.Sort()
		return nil, err
	}
	return p.config(), nil
}

// kindNames returns the names of all section kinds.
func kindNames() []string {
	var names []string
	for _, d := range Reference() {
		kind, _, _ := strings.Cut(d.Title, " ")
		names = append(names, kind)
	}
	return names
}

// Reference returns the descriptions of all section kinds, in the order of the
// reference page.
func Reference() []ini.SectionDescription {
	return []ini.SectionDescription{
		serviceClassKind.Describe(),
		clientAccountKind.Describe(),
		keyKind.Describe(),
		modelKind.Describe(),
		failureDomainKind.Describe(),
		backendServerKind.Describe(),
		poolKind.Describe(),
		plainServiceKind.Describe(),
		routeKind.Describe(),
		limitsKind.Describe(),
		billingKind.Describe(),
	}
}

// KeySection returns the text of the section that declares a key.
func KeySection(k Key) string {
	var b strings.Builder
	b.WriteString("[" + sectionKey + " " + k.Name + "]\n")
	b.WriteString("client-account = " + k.ClientAccount + "\n")
	b.WriteString("hash = " + hex.EncodeToString(k.Hash[:]) + "\n")
	b.WriteString("default-class = " + k.DefaultClass + "\n")
	if k.Withdrawn {
		b.WriteString("withdrawn = true\n")
	}
	return b.String()
}

// declared holds all sections of one kind.
type declared[T any] struct {
	// values are sorted by the names of their sections. A field whose setting
	// has a finding has its zero value.
	values []T
	// sections holds, at the same index, the section of each value.
	sections []*ini.Section
}

// decodeKind decodes the sections of one kind.
func decodeKind[T any](d *ini.Decoder, k *ini.SectionKind[T], byKind map[string][]*ini.Section) declared[T] {
	sections := byKind[k.Name]
	values := make([]T, len(sections))
	for i, s := range sections {
		k.Decode(d, s, &values[i])
	}
	return declared[T]{values: values, sections: sections}
}

// decodeSingle decodes the section of a kind that occurs at most once. Without a
// section it returns the default values.
func decodeSingle[T any](d *ini.Decoder, k *ini.SectionKind[T], byKind map[string][]*ini.Section) T {
	var value T
	if len(byKind[k.Name]) == 0 {
		k.SetDefaults(&value)
	}
	for _, s := range byKind[k.Name] {
		k.Decode(d, s, &value)
	}
	return value
}

// parsed holds the decoded sections of all kinds, for the checks between settings
// and sections.
type parsed struct {
	all            []*ini.Section
	classes        declared[ServiceClass]
	accounts       declared[ClientAccount]
	keys           declared[Key]
	models         declared[Model]
	failureDomains declared[FailureDomain]
	backendServers declared[BackendServer]
	pools          declared[Pool]
	plainServices  declared[PlainService]
	routes         declared[Route]
	limits         Limits
	billing        Billing
}

// decode decodes the sections of all kinds.
func decode(d *ini.Decoder, sections []*ini.Section) *parsed {
	sorted := slices.Clone(sections)
	slices.SortStableFunc(sorted, func(a, b *ini.Section) int { return cmp.Compare(a.Name, b.Name) })
	byKind := make(map[string][]*ini.Section)
	for _, s := range sorted {
		byKind[s.Kind] = append(byKind[s.Kind], s)
	}
	return &parsed{
		all:            sections,
		classes:        decodeKind(d, &serviceClassKind, byKind),
		accounts:       decodeKind(d, &clientAccountKind, byKind),
		keys:           decodeKind(d, &keyKind, byKind),
		models:         decodeKind(d, &modelKind, byKind),
		failureDomains: decodeKind(d, &failureDomainKind, byKind),
		backendServers: decodeKind(d, &backendServerKind, byKind),
		pools:          decodeKind(d, &poolKind, byKind),
		plainServices:  decodeKind(d, &plainServiceKind, byKind),
		routes:         decodeKind(d, &routeKind, byKind),
		limits:         decodeSingle(d, &limitsKind, byKind),
		billing:        decodeSingle(d, &billingKind, byKind),
	}
}

// config returns the configuration, sorted as Config documents.
func (p *parsed) config() *Config {
	slices.SortFunc(p.classes.values, func(a, b ServiceClass) int { return cmp.Compare(a.Tier, b.Tier) })
	slices.SortFunc(p.routes.values, compareRoutes)
	return &Config{
		Classes:        p.classes.values,
		Accounts:       p.accounts.values,
		Keys:           p.keys.values,
		Models:         p.models.values,
		FailureDomains: p.failureDomains.values,
		BackendServers: p.backendServers.values,
		Pools:          p.pools.values,
		PlainServices:  p.plainServices.values,
		Routes:         p.routes.values,
		Limits:         p.limits,
		Billing:        p.billing,
	}
}

// compareRoutes orders routes as they are matched: longest path prefix first, then
// routes with a method before those without, then by name.
func compareRoutes(a, b Route) int {
	return cmp.Or(
		cmp.Compare(len(matchedPrefix(b)), len(matchedPrefix(a))),
		-cmp.Compare(min(len(a.Method), 1), min(len(b.Method), 1)),
		cmp.Compare(a.Name, b.Name),
	)
}

// matchedPrefix returns the path prefix of a route without a trailing slash.
func matchedPrefix(r Route) string { return strings.TrimSuffix(r.PathPrefix, "/") }
