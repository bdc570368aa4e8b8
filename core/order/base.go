package order

import (
	"context"
	"encoding/json"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platform"

	"github.com/ansel1/merry/v2"
)

// BaselineKey is the key of the row that holds a Base.
const BaselineKey = "order/base"

// Baseline is the number of replicas that services had before anything was ordered:
// what the operator deployed for the load that is expected.
type Baseline struct {
	// Counts are the replicas of each service in each failure domain.
	Counts map[string]map[string]int `json:"counts"`
}

// Count returns the number of replicas of a service in a failure domain.
func (b *Baseline) Count(service, failureDomain string) int { return b.Counts[service][failureDomain] }

// LoadBaseline returns the base that was stored, or nil if there is none.
func LoadBaseline(ctx context.Context, rows table.Service) (*Baseline, error) {
	found, err := rows.Get(ctx, &table.GetPayload{Keys: []string{BaselineKey}})
	if err != nil || len(found) == 0 {
		return nil, err
	}
	var base Baseline
	if err := json.Unmarshal(found[0].Value, &base); err != nil {
		return nil, merry.Wrap(ErrMalformedRow, merry.WithCause(err))
	}
	return &base, nil
}

// StoreBaseline stores a base unless there is one. Either way LoadBase returns the
// one in force afterwards.
func StoreBaseline(ctx context.Context, rows table.Service, base Baseline) error {
	value, err := json.Marshal(base)
	if err != nil {
		return err
	}
	_, err = rows.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: BaselineKey}},
		Writes:     []*table.Write{{Key: BaselineKey, Value: value}},
	})
	if platform.AsConflict(err) != nil {
		return nil
	}
	return err
}

// settleTime is how long no standard backend server may have come or gone before
// their number is taken for what the operator deployed. At a start of everything
// they come one by one, each within a heartbeat.
const settleTime = 1500 * time.Millisecond

// BaselineStable reports whether the list of standard backend servers that last changed
// at changed is complete. It is not before any has come, when changed is zero.
func BaselineStable(changed, now time.Time) bool {
	return !changed.IsZero() && now.Sub(changed) >= settleTime
}
