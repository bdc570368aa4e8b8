package revision

import (
	"fmt"

	"acaciapath.example/core/platform"

	"github.com/ansel1/merry/v2"
)

// Errors of this package.
var (
	// ErrNotFound is returned for a revision that does not exist.
	ErrNotFound = merry.Sentinel("revision: no such revision")
	// ErrCorrupt is returned for content that cannot be decoded or is not what
	// was stored.
	ErrCorrupt = merry.Sentinel("revision: content is corrupt")
	// ErrTooLarge is returned for files that are larger than MaxBytes together.
	ErrTooLarge = merry.Sentinel("revision: files are too large")
	// ErrUnavailable is returned when the platform does not answer. Nothing was
	// changed.
	ErrUnavailable = merry.Sentinel("revision: platform is unavailable")
	// ErrOutcomeUnknown is returned by Apply when the platform stopped answering
	// while the revision was written. Applying the same files again settles it.
	ErrOutcomeUnknown = merry.Sentinel("revision: unknown whether the revision was stored")
	// ErrRejected is returned for a revision that fails the daemon's check. It
	// wraps the findings.
	ErrRejected = merry.Sentinel("revision: content fails the check")
)

// ConflictError says that a revision was made against one that is not the newest.
type ConflictError struct {
	// Base is the revision that the change was made against.
	Base uint64
	// Newest is the newest revision. Its number is 0 if there is none.
	Newest Meta
}

// Error returns the two revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision: made against revision %d, but the newest is %d", e.Base, e.Newest.Revision)
}

// unavailable returns ErrUnavailable with its cause.
func unavailable(cause error) error {
	return merry.Wrap(ErrUnavailable, merry.AppendMessage(platform.Reason(cause)), merry.WithCause(cause))
}

// corrupt returns ErrCorrupt with its cause.
func corrupt(cause error) error {
	return merry.Wrap(ErrCorrupt, merry.AppendMessage(cause.Error()), merry.WithCause(cause))
}
