package order

import (
	"context"
	"encoding/json"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

// BaselineKey is the key of the row that holds the Baseline.
const BaselineKey = "order/base"

// Baseline is the number of replicas of each service that the operator deployed
// for the expected load, recorded before any replica was ordered.
type Baseline struct {
	// Counts is the number of replicas by service and failure domain.
	Counts map[string]map[string]int `json:"counts"`
}

// Count returns the number of replicas of a service in a failure domain.
func (b *Baseline) Count(service, failureDomain string) int { return b.Counts[service][failureDomain] }

// LoadBaseline returns the stored baseline, or nil if there is none. It returns
// ErrMalformedRow if the row cannot be decoded.
func LoadBaseline(ctx context.Context, rows table.Service) (*Baseline, error) {
	found, err := rows.Get(ctx, &table.GetPayload{Keys: []string{BaselineKey}})
	if err != nil || len(found) == 0 {
		return nil, err
	}
	var baseline Baseline
	if err := json.Unmarshal(found[0].Value, &baseline); err != nil {
		return nil, merry.Wrap(ErrMalformedRow, merry.WithCause(err))
	}
	return &baseline, nil
}

// StoreBaseline stores the baseline unless one is already stored; it returns nil
// in both cases. Call LoadBaseline afterwards to read the one that applies.
func StoreBaseline(ctx context.Context, rows table.Service, baseline Baseline) error {
	value, err := json.Marshal(baseline)
	if err != nil {
		return err
	}
	_, err = rows.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: BaselineKey}},
		Writes:     []*table.Write{{Key: BaselineKey, Value: value}},
	})
	if platformapi.AsConflict(err) != nil {
		return nil
	}
	return err
}

// baselineSettleTime is how long the set of standard backend servers must stay
// unchanged before it is taken as what the operator deployed. When the whole
// system starts, they register one by one, each within a heartbeat interval.
const baselineSettleTime = 1500 * time.Millisecond

// BaselineStable reports whether the list of standard backend servers can be
// taken as complete: it has not changed since lastChange for long enough. A zero
// lastChange means that no backend server has registered yet.
func BaselineStable(lastChange, now time.Time) bool {
	return !lastChange.IsZero() && now.Sub(lastChange) >= baselineSettleTime
}
