package revision

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/objects"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"
)

// Retries of a write whose reply was lost. The backoff grows exponentially.
const (
	// writeAttempts is the maximum number of attempts, the first one included.
	writeAttempts = 5
	// firstWriteBackoff is the backoff before the second attempt.
	firstWriteBackoff = 20 * time.Millisecond
)

// Change describes a new revision that an operator applies.
type Change struct {
	// Base is the revision that the change was made against, or 0 if there was
	// none.
	Base uint64
	// Files are all files of the new revision.
	Files []config.File
	// Author is the operator who applies the change.
	Author string
	// Message says what was changed.
	Message string
}

// ApplyResult is the result of applying a change.
type ApplyResult struct {
	// Meta is the newest revision, which has the content of the change.
	Meta Meta
	// Unchanged says that the newest revision already had this content, so that
	// no new revision was stored.
	Unchanged bool
}

// Apply stores a change as a new revision if its base is the newest revision. It
// stores nothing if the newest revision has the same files. If a reply is lost,
// Apply sends the same transaction again, which can take effect only once. After
// a conflict it reads which revision was stored.
//
// It returns a *ConflictError if the base is not the newest revision,
// ErrOutcomeUnknown, ErrUnavailable, ErrTooLarge, ErrCorrupt, or ErrNotFound if
// the newest revision is missing.
func (s *Store) Apply(ctx context.Context, change Change, now time.Time) (ApplyResult, error) {
	bundle, err := Pack(change.Files)
	if err != nil {
		return ApplyResult{}, err
	}
	head, version, err := s.readHead(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	newest, err := s.newest(ctx, head)
	if err != nil {
		return ApplyResult{}, err
	}
	if newest.SHA256 == bundle.SHA256 {
		return ApplyResult{Meta: newest, Unchanged: true}, nil
	}
	if head != change.Base {
		return ApplyResult{}, &ConflictError{Base: change.Base, Newest: newest}
	}
	meta := newMeta(change, bundle, now)
	if err := s.put(ctx, meta.ObjectName, bundle.Data); err != nil {
		return ApplyResult{}, err
	}
	return s.commit(ctx, meta, version)
}

// newMeta returns the metadata of the revision that a change creates.
func newMeta(change Change, bundle Bundle, now time.Time) Meta {
	return Meta{
		Revision:   change.Base + 1,
		Parent:     change.Base,
		Author:     change.Author,
		Message:    change.Message,
		AppliedAt:  now.UTC().Round(0),
		ObjectName: objectPrefix + bundle.SHA256,
		Size:       bundle.Size,
		SHA256:     bundle.SHA256,
	}
}

// newest returns the metadata of the newest revision, whose number is head. It
// returns a zero Meta if head is 0.
func (s *Store) newest(ctx context.Context, head uint64) (Meta, error) {
	if head == 0 {
		return Meta{}, nil
	}
	return s.Get(ctx, head)
}

// put stores an object. Its name contains the hash of its content, so that it is
// safe to store it again.
func (s *Store) put(ctx context.Context, name string, data []byte) error {
	_, err := retry(ctx, func() (struct{}, error) {
		err := s.platform.Objects.Put(ctx, &objects.PutPayload{Name: name, Data: data})
		if err != nil && platformapi.HadNoEffect(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	})
	if err != nil {
		return unavailable(err)
	}
	return nil
}

// commit writes the row of a revision and the head row, if the head row still has
// the given version.
func (s *Store) commit(ctx context.Context, meta Meta, version uint64) (ApplyResult, error) {
	value, err := json.Marshal(meta)
	if err != nil {
		return ApplyResult{}, merry.Prepend(err, "revision: encode metadata")
	}
	head, err := json.Marshal(headValue{Revision: meta.Revision})
	if err != nil {
		return ApplyResult{}, merry.Prepend(err, "revision: encode head row")
	}
	key := revisionKey(meta.Revision)
	transaction := &table.CommitPayload{
		Conditions: []*table.Condition{{Key: headKey, Version: version}, {Key: key, Version: 0}},
		Writes:     []*table.Write{{Key: headKey, Value: head}, {Key: key, Value: value}},
	}
	uncertain, err := s.send(ctx, transaction)
	if err == nil {
		return ApplyResult{Meta: meta}, nil
	}
	if platformapi.AsConflict(err) != nil {
		return s.resolveConflict(ctx, meta, value, uncertain)
	}
	if uncertain {
		return ApplyResult{}, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage(err.Error()), merry.WithCause(err))
	}
	return ApplyResult{}, unavailable(err)
}

// send commits a transaction and retries if a reply is lost. uncertain says
// whether an attempt without a reply may have taken effect.
func (s *Store) send(ctx context.Context, transaction *table.CommitPayload) (uncertain bool, err error) {
	_, err = retry(ctx, func() (struct{}, error) {
		_, err := s.platform.Table.Commit(ctx, transaction)
		switch {
		case err == nil:
		case platformapi.AsConflict(err) != nil:
			err = backoff.Permanent(err)
		case !platformapi.HadNoEffect(err):
			uncertain = true
		case !uncertain:
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	})
	return uncertain, err
}

// resolveConflict finds out, after a conflict, whether the row of a revision was
// written by this call of Apply or by another one. The row is written only once
// and never changes. value is the content of the row that this call sent.
// uncertain says whether an attempt without a reply may have taken effect.
func (s *Store) resolveConflict(ctx context.Context, meta Meta, value []byte, uncertain bool) (ApplyResult, error) {
	rows, err := s.platform.Read(ctx, revisionKey(meta.Revision), headKey)
	if err != nil {
		if uncertain {
			return ApplyResult{}, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage(err.Error()), merry.WithCause(err))
		}
		return ApplyResult{}, unavailable(err)
	}
	if uncertain && bytes.Equal(rows[0].Value, value) {
		return ApplyResult{Meta: meta}, nil
	}
	head, err := decodeRow[headValue](rows[1].Value)
	if err != nil {
		return ApplyResult{}, err
	}
	newest, err := s.newest(ctx, head.Revision)
	if err != nil {
		return ApplyResult{}, err
	}
	if newest.SHA256 == meta.SHA256 {
		return ApplyResult{Meta: newest, Unchanged: true}, nil
	}
	return ApplyResult{}, &ConflictError{Base: meta.Parent, Newest: newest}
}

// retry calls operation until it succeeds, returns a permanent error, or has been
// called writeAttempts times.
func retry[T any](ctx context.Context, operation backoff.Operation[T]) (T, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstWriteBackoff
	return backoff.Retry(ctx, operation, backoff.WithBackOff(wait), backoff.WithMaxTries(writeAttempts))
}
