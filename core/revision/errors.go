package revision

import (
	"fmt"

	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNotFound is returned for a revision that does not exist.
	ErrNotFound = merry.Sentinel("revision: no such revision")
	// ErrCorrupt is returned for stored data that cannot be decoded, is missing,
	// or is not what was stored.
	ErrCorrupt = merry.Sentinel("revision: content is corrupt")
	// ErrTooLarge is returned for files that together are larger than MaxBytes.
	ErrTooLarge = merry.Sentinel("revision: files are too large")
	// ErrUnavailable is returned when the platform does not answer. Nothing was
	// changed.
	ErrUnavailable = merry.Sentinel("revision: platform is unavailable")
	// ErrOutcomeUnknown is returned by Store.Apply when the platform stopped
	// answering while the revision was being written. It is safe to apply the
	// same files again, which stores them at most once.
	ErrOutcomeUnknown = merry.Sentinel("revision: unknown whether the revision was stored")
	// ErrRejected is returned for a revision whose files fail the daemon's check.
	// It wraps the findings.
	ErrRejected = merry.Sentinel("revision: files fail the check")
)

// ConflictError says that a change was made against a revision that is not the
// newest one.
type ConflictError struct {
	// Base is the revision that the change was made against.
	Base uint64
	// Newest is the newest revision. Its number is 0 if there is none.
	Newest Meta
}

// Error returns a message with the numbers of both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision: the change was made against revision %d, but the newest is %d", e.Base, e.Newest.Revision)
}

// unavailable returns ErrUnavailable with the given cause.
func unavailable(cause error) error {
	return merry.Wrap(ErrUnavailable, merry.AppendMessage(platformapi.Reason(cause)), merry.WithCause(cause))
}

// corrupt returns ErrCorrupt with the given cause.
func corrupt(cause error) error {
	return merry.Wrap(ErrCorrupt, merry.AppendMessage(cause.Error()), merry.WithCause(cause))
}
