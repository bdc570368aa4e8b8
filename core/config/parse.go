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

// Parse returns the configuration that the files declare together. They are
// merged in the order of their names: in a section that stands in several
// files, the later file wins, setting by setting. If anything is wrong, Parse
// returns all of it as a *finding.List.
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

// kindNames returns the names of all kinds of sections.
func kindNames() []string {
	var names []string
	for _, d := range Reference() {
		kind, _, _ := strings.Cut(d.Title, " ")
		names = append(names, kind)
	}
	return names
}

// Reference returns the descriptions of all kinds of sections.
func Reference() []ini.SectionDescription {
	return []ini.SectionDescription{
		serviceClasses.Describe(),
		clientAccounts.Describe(),
		keys.Describe(),
		models.Describe(),
		failureDomains.Describe(),
		backendServers.Describe(),
		pools.Describe(),
		plainServices.Describe(),
		routes.Describe(),
		limits.Describe(),
		billing.Describe(),
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

// declared is the sections of one kind.
type declared[T any] struct {
	// values are in the order of the sections' names. A field with a finding
	// has its zero value.
	values []T
	// sections are those that the values came from.
	sections []*ini.Section
}

// decodeKind returns the sections of one kind.
func decodeKind[T any](d *ini.Decoder, k *ini.SectionKind[T], byKind map[string][]*ini.Section) declared[T] {
	sections := byKind[k.Name]
	values := make([]T, len(sections))
	for i, s := range sections {
		k.Decode(d, s, &values[i])
	}
	return declared[T]{values: values, sections: sections}
}

// decodeSingle returns the value of a kind of section that stands at most once.
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

// parsed is all sections, before the checks between them.
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
		classes:        decodeKind(d, &serviceClasses, byKind),
		accounts:       decodeKind(d, &clientAccounts, byKind),
		keys:           decodeKind(d, &keys, byKind),
		models:         decodeKind(d, &models, byKind),
		failureDomains: decodeKind(d, &failureDomains, byKind),
		backendServers: decodeKind(d, &backendServers, byKind),
		pools:          decodeKind(d, &pools, byKind),
		plainServices:  decodeKind(d, &plainServices, byKind),
		routes:         decodeKind(d, &routes, byKind),
		limits:         decodeSingle(d, &limits, byKind),
		billing:        decodeSingle(d, &billing, byKind),
	}
}

// config returns the configuration, in the orders that Config documents.
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

// compareRoutes orders routes as they are matched: the longest path prefix
// first, then routes that name a method, then by name.
func compareRoutes(a, b Route) int {
	return cmp.Or(
		cmp.Compare(len(matchedPrefix(b)), len(matchedPrefix(a))),
		-cmp.Compare(min(len(a.Method), 1), min(len(b.Method), 1)),
		cmp.Compare(a.Name, b.Name),
	)
}

// matchedPrefix returns the path prefix of a route as it is matched.
func matchedPrefix(r Route) string { return strings.TrimSuffix(r.PathPrefix, "/") }
