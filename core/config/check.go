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

// check adds what is wrong between the settings of a section and between
// sections. Values that have a finding already are passed over.
func (p *parsed) check(findings *finding.List) {
	p.checkDuplicates(findings)
	p.checkClasses(findings)
	p.checkKeys(findings)
	p.checkModels(findings)
	p.checkServers(findings)
	p.checkCurrencies(findings)
}

// unique adds a finding for each section whose value of a setting, as text, is
// that of an earlier section. Empty texts are passed over.
func unique[T any](findings *finding.List, d declared[T], setting, message string, text func(*T) string) {
	inFileOrder := make([]int, len(d.values))
	for i := range inFileOrder {
		inFileOrder[i] = i
	}
	slices.SortStableFunc(inFileOrder, func(a, b int) int { return comparePlaces(d.sections[a], d.sections[b]) })
	first := make(map[string]*ini.Section, len(d.values))
	for _, i := range inFileOrder {
		t := text(&d.values[i])
		if t == "" {
			continue
		}
		if other, ok := first[t]; ok {
			findings.Add(d.sections[i].Finding(finding.Duplicate, setting, message+" ["+other.Title()+"]"))
			continue
		}
		first[t] = d.sections[i]
	}
}

func (p *parsed) checkDuplicates(findings *finding.List) {
	unique(findings, p.classes, "tier", "this is also the tier of", func(c *ServiceClass) string {
		return nonZero(c.Tier)
	})
	unique(findings, p.keys, "hash", "this is also the hash of", func(k *Key) string {
		if k.Hash == [32]byte{} {
			return ""
		}
		return hex.EncodeToString(k.Hash[:])
	})
	unique(findings, p.backendServers, "address", "this is also the address of", func(b *BackendServer) string {
		return b.Address
	})
	unique(findings, p.routes, "path-prefix", "this method and path prefix are also those of", func(r *Route) string {
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
				"the wait is shorter than first-token-target"))
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
				"an answer is longer than context-tokens"))
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
			findings.Add(s.Finding(finding.InvalidValue, "plain-service", "a backend server has either models or plain-service, not both"))
		case models == nil && plain == nil:
			findings.Add(s.Finding(finding.Missing, "models", "a backend server has either models or plain-service"))
		}
	}
}

// checkCurrencies adds a finding for each price in another currency than that
// of the bills.
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

// checkCurrency checks the currency of one price. A price that has a finding
// already is 0, for which the currency does not matter.
func (p *parsed) checkCurrency(findings *finding.List, s *ini.Section, setting string, micros int64) {
	v := s.Value(setting)
	if v == nil || micros == 0 || p.billing.Currency == "" {
		return
	}
	if used := priceCurrency(v.Text); used != p.billing.Currency {
		findings.Add(s.Finding(finding.InvalidValue, setting,
			"the price is in "+used+" and the bills are in "+p.billing.Currency))
	}
}

// comparePlaces orders sections as the merged files hold them.
func comparePlaces(a, b *ini.Section) int {
	return cmp.Or(cmp.Compare(a.Position.File, b.Position.File), cmp.Compare(a.Position.Line, b.Position.Line))
}

// nonZero returns a number as text, or an empty string for 0.
func nonZero(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}
