package claims

import (
	"context"
	"encoding/hex"
	"io"
	"time"

	"acaciapath.example/core/claim"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

// ErrUnavailable is returned when a claim could not be made. The call must not
// be sent then.
var ErrUnavailable = merry.Sentinel("claims: platform is unavailable")

// Limits of the calls to the platform's table.
const (
	// maxAttempts limits the attempts to make or to update a claim.
	maxAttempts = 3
	// retryPause is the time between attempts to update a claim.
	retryPause = 50 * time.Millisecond
	// idBytes is the number of random bytes in the id of a claim.
	idBytes = 16
	// acquireTimeout limits Acquire, for which a caller waits.
	acquireTimeout = 4 * time.Second
	// uncertainReleaseTimeout limits the attempts to delete a claim of which it
	// is unknown whether it was made, and uncertainReleasePause is the time
	// between them.
	uncertainReleaseTimeout = time.Minute
	uncertainReleasePause   = 500 * time.Millisecond
)

// Store makes, updates and deletes claims. It is safe for concurrent use.
type Store struct {
	table  table.Service
	owner  string
	clock  func() time.Time
	random io.Reader
}

// NewStore returns a store for the VM named owner. random must be safe for
// concurrent use.
func NewStore(service table.Service, owner string, clock func() time.Time, random io.Reader) *Store {
	return &Store{table: service, owner: owner, clock: clock, random: random}
}

// Handle is the result of an attempt to claim a call, and refers to the claim
// if it was made.
type Handle struct {
	// Action tells how to proceed with the call. It is never claim.Insert.
	Action claim.Action
	// Outcome is the stored outcome if Action is claim.Replay.
	Outcome *claim.Outcome

	ownClaim claim.Claim
	key      string
	version  uint64
}

// Acquire claims the call whose row has the given key. timeout is how long the
// call may take after it was claimed. Acquire returns ErrUnavailable if it is
// not known that the claim was made, or an error if the random source fails;
// the call must not be sent then. A claim that may have been made is deleted in
// the background.
func (s *Store) Acquire(ctx context.Context, key, fingerprint string, timeout time.Duration) (*Handle, error) {
	ownClaim, err := s.newClaim(fingerprint)
	if err != nil {
		return nil, err
	}
	handle := &Handle{ownClaim: ownClaim, key: key}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	uncertain := false
	for range maxAttempts {
		err := s.insert(ctx, handle, timeout)
		if err == nil {
			return handle, nil
		}
		if platformapi.HadNoEffect(err) {
			break
		}
		uncertain = true
		if s.readBack(ctx, handle, timeout) {
			return handle, nil
		}
	}
	if uncertain {
		s.releaseUncertain(ctx, handle)
	}
	return nil, ErrUnavailable
}

func (s *Store) newClaim(fingerprint string) (claim.Claim, error) {
	var id [idBytes]byte
	if _, err := io.ReadFull(s.random, id[:]); err != nil {
		return claim.Claim{}, merry.Prepend(err, "claims: read random source")
	}
	return claim.Claim{
		ID:          hex.EncodeToString(id[:]),
		Fingerprint: fingerprint,
		CreatedAt:   s.clock(),
		Owner:       s.owner,
	}, nil
}

// insert inserts the claim. If the row already exists, insert decides by its
// content.
func (s *Store) insert(ctx context.Context, handle *Handle, timeout time.Duration) error {
	rows, err := s.write(ctx, handle, 0)
	if err == nil {
		handle.Action = claim.Send
		handle.version = versionOf(rows, handle.key)
		return nil
	}
	if conflict := platformapi.AsConflict(err); conflict != nil && s.decide(handle, conflict.Rows, timeout) {
		return nil
	}
	return err
}

// readBack reads the row after an insertion without a reply and decides by its
// content. It returns false if the row could not be read or does not exist.
func (s *Store) readBack(ctx context.Context, handle *Handle, timeout time.Duration) bool {
	rows, err := s.table.Get(ctx, &table.GetPayload{Keys: []string{handle.key}})
	return err == nil && s.decide(handle, rows, timeout)
}

// decide sets the action according to the stored row. It returns false if there
// is no such row.
func (s *Store) decide(handle *Handle, rows []*table.Row, timeout time.Duration) bool {
	row := findRow(rows, handle.key)
	if row == nil || row.Version == 0 {
		return false
	}
	stored, err := claim.Parse(row.Value)
	if err != nil {
		handle.Action = claim.RefuseUnknown
		return true
	}
	handle.Action = claim.Decide(handle.ownClaim, &stored, timeout, s.clock())
	handle.Outcome = stored.Outcome
	handle.version = row.Version
	return handle.Action != claim.Insert
}

// StoreOutcome stores the outcome of a call that was sent.
func (s *Store) StoreOutcome(ctx context.Context, handle *Handle, outcome *claim.Outcome) error {
	handle.ownClaim.Outcome = outcome
	return s.update(ctx, handle)
}

// MarkOutcomeLost stores that the outcome of a call that was sent will never be
// known.
func (s *Store) MarkOutcomeLost(ctx context.Context, handle *Handle) error {
	handle.ownClaim.OutcomeLost = true
	return s.update(ctx, handle)
}

// update overwrites the row of the claim. A conflict means that an earlier
// attempt without a reply has succeeded, since nobody else changes the row.
func (s *Store) update(ctx context.Context, handle *Handle) error {
	var err error
	for range maxAttempts {
		if _, err = s.write(ctx, handle, handle.version); err == nil || platformapi.AsConflict(err) != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
	return err
}

// Release deletes the claim of a call that certainly did not run, so that the
// caller may send it again. If the deletion fails, later calls with the same
// key are refused.
func (s *Store) Release(ctx context.Context, handle *Handle) error {
	_, err := s.table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: handle.key, Version: handle.version}},
		Writes:     []*table.Write{{Key: handle.key, Delete: true}},
	})
	return err
}

// releaseUncertain deletes, in the background, a claim that may have been made
// after all, or that a delayed write may still make. It gives up after
// uncertainReleaseTimeout; if the claim remains, later calls with the same key
// are refused.
func (s *Store) releaseUncertain(ctx context.Context, handle *Handle) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), uncertainReleaseTimeout)
	go func() {
		defer cancel()
		for !s.tryReleaseUncertain(ctx, handle) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(uncertainReleasePause):
			}
		}
	}()
}

// tryReleaseUncertain deletes the claim if the row contains it. It reports
// whether the row certainly contains no claim of this call and will not get one.
func (s *Store) tryReleaseUncertain(ctx context.Context, handle *Handle) bool {
	rows, err := s.table.Get(ctx, &table.GetPayload{Keys: []string{handle.key}})
	if err != nil {
		return false
	}
	row := findRow(rows, handle.key)
	if row == nil {
		return false // a delayed write may still arrive
	}
	stored, err := claim.Parse(row.Value)
	if err != nil || !claim.Releasable(handle.ownClaim, &stored) {
		return true
	}
	handle.version = row.Version
	return s.Release(ctx, handle) == nil
}

// write writes the row of the claim if the row has the given version.
func (s *Store) write(ctx context.Context, handle *Handle, version uint64) ([]*table.Row, error) {
	value, err := handle.ownClaim.Marshal()
	if err != nil {
		return nil, err
	}
	return s.table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: handle.key, Version: version}},
		Writes:     []*table.Write{{Key: handle.key, Value: value}},
	})
}

func findRow(rows []*table.Row, key string) *table.Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return nil
}

func versionOf(rows []*table.Row, key string) uint64 {
	if row := findRow(rows, key); row != nil {
		return row.Version
	}
	return 0
}
