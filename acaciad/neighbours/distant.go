package neighbours

import (
	"context"
	"strings"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"
)

// distantPerDomain is the number of daemons of each other failure domain that a daemon knows. A
// whole failure domain can be cut off, and its daemons then share the others.
const distantPerDomain = 8

// readDistant reads the rows of some daemons of each other failure domain. It returns false if a
// read fails.
func (r *Registry) readDistant(ctx context.Context, now time.Time) ([]detour.Neighbour, bool) {
	var distant []detour.Neighbour
	for _, domain := range r.Domains {
		if domain == r.FailureDomain {
			continue
		}
		found, err := r.readSome(ctx, domain, now)
		if err != nil {
			r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot read neighbour rows of another failure domain, will retry")
			return nil, false
		}
		distant = append(distant, found...)
	}
	return distant, true
}

// readSome reads the rows of up to distantPerDomain daemons of another failure domain, those that
// follow the name which this VM would have there. VMs of a failure domain are mostly numbered in
// the same way, so that each begins elsewhere.
func (r *Registry) readSome(ctx context.Context, domain string, now time.Time) ([]detour.Neighbour, error) {
	prefix := keyPrefix + domain + "/"
	counterpart := prefix + strings.ReplaceAll(r.VM, r.FailureDomain, domain)
	rows, err := r.Table.List(ctx, &table.ListPayload{Prefix: prefix, After: counterpart, Limit: distantPerDomain})
	if err != nil {
		return nil, err
	}
	if len(rows) < distantPerDomain {
		first, err := r.Table.List(ctx, &table.ListPayload{Prefix: prefix, Limit: distantPerDomain - len(rows)})
		if err != nil {
			return nil, err
		}
		for _, row := range first {
			if row.Key <= counterpart { // the others are known
				rows = append(rows, row)
			}
		}
	}
	found, _ := r.parseRows(rows, now)
	return found, nil
}
