package neighbours

import (
	"slices"
	"strings"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/gen/table"
)

// distantPerDomain is the number of daemons of each other failure domain that a daemon knows. A
// whole failure domain can be cut off, and its daemons then share the others.
const distantPerDomain = 8

// distant returns some daemons of each other failure domain in rows, which are in the order of
// their keys.
func (r *Registry) distant(rows []*table.Row, now time.Time) []detour.Neighbour {
	domains := make(map[string][]*table.Row)
	for _, row := range rows {
		domain, _, ok := strings.Cut(strings.TrimPrefix(row.Key, keyPrefix), "/")
		if ok && domain != r.FailureDomain {
			domains[domain] = append(domains[domain], row)
		}
	}
	var found []detour.Neighbour
	for domain, rows := range domains {
		neighbours, _ := r.parseRows(r.fromCounterpart(domain, rows), now)
		found = append(found, neighbours...)
	}
	return found
}

// fromCounterpart returns up to distantPerDomain rows of a failure domain: those that follow the
// name which this VM would have there, in a circle. VMs of a failure domain are mostly numbered in
// the same way, so that each begins elsewhere.
func (r *Registry) fromCounterpart(domain string, rows []*table.Row) []*table.Row {
	counterpart := keyPrefix + domain + "/" + strings.ReplaceAll(r.VM, r.FailureDomain, domain)
	first, _ := slices.BinarySearchFunc(rows, counterpart, func(row *table.Row, key string) int {
		return strings.Compare(row.Key, key)
	})
	circle := slices.Concat(rows[first:], rows[:first])
	return circle[:min(len(circle), distantPerDomain)]
}
