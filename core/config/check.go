package config

import (
	"cmp"
	"encoding/hex"
	"slices"
	"strconv"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"
	"acaciapath.example/core/value"
)

// check adds a finding for each conflict between settings of one section or of
// several sections. Values that have a finding already are skipped.
func (p *parsed) check(findings *finding.List) {
	p.checkDuplicates(findings)
	p.checkClasses(findings)
	p.checkKeys(findings)
	p.checkModels(findings)
	p.checkServers(findings)
	p.checkCurrencies(findings)
}

// checkUnique adds a finding for each section whose value of a setting equals that
// of an earlier section, in the order of the merged files. text returns the value
// to compare; sections for which it is empty are skipped. The title of the earlier
// section is appended to message.
func checkUnique[T any](findings *finding.List, d declared[T], setting, message string, text func(*T) string) {
	inFileOrder := make([]int, len(d.values)) // indexes into d.values
	for i := range inFileOrder {
		inFileOrder[i] = i
	}
	slices.SortStableFunc(inFileOrder, func(a, b int) int { return comparePositions(d.sections[a], d.sections[b]) })
	firstSections := make(map[string]*ini.Section, len(d.values))
	for _, i := range inFileOrder {
		t := text(&d.values[i])
		if t == "" {
			continue
		}
		if other, ok := firstSections[t]; ok {
			findings.Add(d.sections[i].Finding(finding.Duplicate, setting, message+" ["+other.Title()+"]"))
			continue
		}
		firstSections[t] = d.sections[i]
	}
}

func (p *parsed) checkDuplicates(findings *finding.List) {
	checkUnique(findings, p.classes, "tier", "the tier is already used by", func(c *ServiceClass) string {
		return formatNonZero(c.Tier)
	})
	checkUnique(findings, p.keys, "hash", "the hash is already used by", func(k *Key) string {
		if k.Hash == [32]byte{} {
			return ""
		}
		return hex.EncodeToString(k.Hash[:])
	})
	checkUnique(findings, p.backendServers, "address", "the address is already used by", func(b *BackendServer) string {
		return b.Address
	})
	checkUnique(findings, p.routes, "path-prefix", "the method and path prefix are already used by", func(r *Route) string {
		if r.PathPrefix == "" {
			return ""
		}
		return r.Method + " " + matchedPrefix(*r)
	})
}

func (p *parsed) checkClasses(findings *finding.List) {
	for i, c := range p.classes.values {
		if c.MaxWait > 0 && c.FirstTokenTarget > c.MaxWait {
			findings.Add(p.classes.sections[i].Finding(finding.InvalidValue, "max-wait",
				"the value is less than first-token-target"))
		}
	}
}

func (p *parsed) checkKeys(findings *finding.List) {
	accounts := make(map[string]*ClientAccount, len(p.accounts.values))
	for i := range p.accounts.values {
		accounts[p.accounts.values[i].Name] = &p.accounts.values[i]
	}
	for i, k := range p.keys.values {
		a := accounts[k.ClientAccount]
		if a == nil || a.Classes == nil || k.DefaultClass == "" || a.HasClass(k.DefaultClass) {
			continue
		}
		findings.Add(p.keys.sections[i].Finding(finding.UnresolvedReference, "default-class",
			"client account "+a.Name+" has not bought the class "+value.Quote(k.DefaultClass)))
	}
}

func (p *parsed) checkModels(findings *finding.List) {
	for i, m := range p.models.values {
		if m.ContextTokens > 0 && m.MaxCompletionTokens > m.ContextTokens {
			findings.Add(p.models.sections[i].Finding(finding.InvalidValue, "max-completion-tokens",
				"the value is greater than context-tokens"))
		}
	}
}

func (p *parsed) checkServers(findings *finding.List) {
	for i, b := range p.pools.values {
		if b.Max > 0 && b.Min > b.Max {
			findings.Add(p.pools.sections[i].Finding(finding.InvalidValue, "min", "min is greater than max"))
		}
	}
	for _, s := range p.backendServers.sections {
		models, plain := s.Value("models"), s.Value("plain-service")
		switch {
		case models != nil && plain != nil:
			findings.Add(s.Finding(finding.InvalidValue, "plain-service", "a backend server cannot have both models and plain-service"))
		case models == nil && plain == nil:
			findings.Add(s.Finding(finding.Missing, "models", "a backend server needs either models or plain-service"))
		}
	}
}

// checkCurrencies adds a finding for each price that is not in the billing
// currency.
func (p *parsed) checkCurrencies(findings *finding.List) {
	for i, c := range p.classes.values {
		p.checkCurrency(findings, p.classes.sections[i], "prompt-price", c.PromptPriceMicros)
		p.checkCurrency(findings, p.classes.sections[i], "completion-price", c.CompletionPriceMicros)
	}
	for i, b := range p.pools.values {
		p.checkCurrency(findings, p.pools.sections[i], "hour-price", b.HourPriceMicros)
	}
	for i, s := range p.plainServices.values {
		p.checkCurrency(findings, p.plainServices.sections[i], "call-price", s.CallPriceMicros)
	}
}

// checkCurrency adds a finding if a price is not in the billing currency. It skips
// prices of 0, because their currency does not matter. A price that has a finding
// already is 0 too.
func (p *parsed) checkCurrency(findings *finding.List, s *ini.Section, setting string, micros int64) {
	v := s.Value(setting)
	if v == nil || micros == 0 || p.billing.Currency == "" {
		return
	}
	if used := priceCurrency(v.Text); used != p.billing.Currency {
		findings.Add(s.Finding(finding.InvalidValue, setting,
			"the price is in "+used+", but the billing currency is "+p.billing.Currency))
	}
}

// comparePositions orders sections by file name and line.
func comparePositions(a, b *ini.Section) int {
	return cmp.Or(cmp.Compare(a.Position.File, b.Position.File), cmp.Compare(a.Position.Line, b.Position.Line))
}

// formatNonZero returns n in decimal, or an empty string for 0.
func formatNonZero(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}
