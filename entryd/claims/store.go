package claims

import (
	"context"
	"encoding/hex"
	"io"
	"time"

	"acaciapath.example/core/claim"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platform"

	"github.com/ansel1/merry/v2"
)

// ErrUnavailable is returned when a claim could not be made, so that nothing
// may be sent.
var ErrUnavailable = merry.Sentinel("claims: platform is unavailable")

// Bounds of the attempts at one write.
const (
	attempts = 3
	pause    = 50 * time.Millisecond
	idBytes  = 16
	// takeTimeout bounds the making of a claim, for which a caller waits.
	takeTimeout = 4 * time.Second
	// takeBackTimeout bounds the search for a claim that was not known to be
	// made, and takeBackPause is the time between two looks.
	takeBackTimeout = time.Minute
	takeBackPause   = 500 * time.Millisecond
)

// Store makes and settles claims. It is safe for concurrent use.
type Store struct {
	table  table.Service
	owner  string
	clock  func() time.Time
	random io.Reader
}

// NewStore returns a store for the VM named owner. Random is safe for
// concurrent use.
func NewStore(service table.Service, owner string, clock func() time.Time, random io.Reader) *Store {
	return &Store{table: service, owner: owner, clock: clock, random: random}
}

// Handle is what became of an attempt to claim a call.
type Handle struct {
	// Action is what to do. It is not claim.Insert.
	Action claim.Action
	// Outcome is the stored outcome if Action is claim.Replay.
	Outcome *claim.Outcome

	own     claim.Claim
	key     string
	version uint64
}

// Acquire claims a call whose row has the given key. Timeout bounds the call. It
// returns ErrUnavailable if the call must not be sent because it is not known
// to be claimed; then it has tried to take back a claim that may have been made.
func (s *Store) Acquire(ctx context.Context, key, fingerprint string, timeout time.Duration) (*Handle, error) {
	own, err := s.newClaim(fingerprint)
	if err != nil {
		return nil, err
	}
	held := &Handle{own: own, key: key}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	uncertain := false
	for range attempts {
		err := s.insert(ctx, held, timeout)
		if err == nil {
			return held, nil
		}
		if platform.HadNoEffect(err) {
			break
		}
		uncertain = true
		if s.readBack(ctx, held, timeout) {
			return held, nil
		}
	}
	if uncertain {
		s.takeBack(ctx, held)
	}
	return nil, ErrUnavailable
}

func (s *Store) newClaim(fingerprint string) (claim.Claim, error) {
	var id [idBytes]byte
	if _, err := io.ReadFull(s.random, id[:]); err != nil {
		return claim.Claim{}, merry.Prepend(err, "claims: random source")
	}
	return claim.Claim{
		ID:          hex.EncodeToString(id[:]),
		Fingerprint: fingerprint,
		CreatedAt:   s.clock(),
		Owner:       s.owner,
	}, nil
}

// insert inserts the claim and decides by the row that it finds in its place.
func (s *Store) insert(ctx context.Context, held *Handle, timeout time.Duration) error {
	rows, err := s.write(ctx, held, 0)
	if err == nil {
		held.Action = claim.Send
		held.version = versionOf(rows, held.key)
		return nil
	}
	if conflict := platform.AsConflict(err); conflict != nil && s.decide(held, conflict.Rows, timeout) {
		return nil
	}
	return err
}

// readBack decides by the claim's row after an insertion without an answer. It
// reports false if the row could not be read or does not exist.
func (s *Store) readBack(ctx context.Context, held *Handle, timeout time.Duration) bool {
	rows, err := s.table.Get(ctx, &table.GetPayload{Keys: []string{held.key}})
	return err == nil && s.decide(held, rows, timeout)
}

// decide sets what to do by the claim's row. It reports false if there is none.
func (s *Store) decide(held *Handle, rows []*table.Row, timeout time.Duration) bool {
	row := find(rows, held.key)
	if row == nil || row.Version == 0 {
		return false
	}
	found, err := claim.Parse(row.Value)
	if err != nil {
		held.Action = claim.RefuseUnknown
		return true
	}
	held.Action = claim.Decide(held.own, &found, timeout, s.clock())
	held.Outcome = found.Outcome
	held.version = row.Version
	return held.Action != claim.Insert
}

// StoreOutcome stores the outcome of a call that was sent.
func (s *Store) StoreOutcome(ctx context.Context, held *Handle, outcome *claim.Outcome) error {
	held.own.Outcome = outcome
	return s.update(ctx, held)
}

// MarkOutcomeLost stores that the outcome of a call that was sent will not be known.
func (s *Store) MarkOutcomeLost(ctx context.Context, held *Handle) error {
	held.own.OutcomeLost = true
	return s.update(ctx, held)
}

// update writes the claim over its row. Once the row has changed, an earlier
// attempt without an answer has taken effect, since nobody else changes it.
func (s *Store) update(ctx context.Context, held *Handle) error {
	var err error
	for range attempts {
		if _, err = s.write(ctx, held, held.version); err == nil || platform.AsConflict(err) != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
	return err
}

// Release deletes the claim of a call that certainly did not run, so that the
// caller may send it again. A claim that stays only makes later calls refused.
func (s *Store) Release(ctx context.Context, held *Handle) error {
	_, err := s.table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: held.key, Version: held.version}},
		Writes:     []*table.Write{{Key: held.key, Delete: true}},
	})
	return err
}

// takeBack deletes a claim of one's own that may have been made after all, or
// may yet be made by a write that is still on its way. It gives up after a
// while: a claim that stays only makes later calls refused.
func (s *Store) takeBack(ctx context.Context, held *Handle) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeBackTimeout)
	go func() {
		defer cancel()
		for !s.tryTakeBack(ctx, held) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(takeBackPause):
			}
		}
	}()
}

// tryTakeBack reports whether the row has no claim of one's own any more.
func (s *Store) tryTakeBack(ctx context.Context, held *Handle) bool {
	rows, err := s.table.Get(ctx, &table.GetPayload{Keys: []string{held.key}})
	if err != nil {
		return false
	}
	row := find(rows, held.key)
	if row == nil {
		return false // the write may still be on its way
	}
	found, err := claim.Parse(row.Value)
	if err != nil || !claim.Releasable(held.own, &found) {
		return true
	}
	held.version = row.Version
	return s.Release(ctx, held) == nil
}

// write writes the claim's row if it has the given version.
func (s *Store) write(ctx context.Context, held *Handle, version uint64) ([]*table.Row, error) {
	value, err := held.own.Marshal()
	if err != nil {
		return nil, err
	}
	return s.table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: held.key, Version: version}},
		Writes:     []*table.Write{{Key: held.key, Value: value}},
	})
}

func find(rows []*table.Row, key string) *table.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return nil
}

func versionOf(rows []*table.Row, key string) uint64 {
	if row := find(rows, key); row != nil {
		return row.Version
	}
	return 0
}
