package command

import (
	"errors"

	"acaciapath.example/acaciapath/folder"
	"acaciapath.example/core/finding"
	"acaciapath.example/core/revision"

	"github.com/ansel1/merry/v2"
)

// Exit is an exit status of the program.
type Exit int

// Exit statuses.
const (
	// ExitOK means success.
	ExitOK Exit = 0
	// ExitFailure means a failure that has no exit status of its own.
	ExitFailure Exit = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage Exit = 2
	// ExitFindings means that the check of the folder has findings.
	ExitFindings Exit = 3
	// ExitConflict means that the base of the change is not the newest revision.
	ExitConflict Exit = 4
	// ExitPlatformUnavailable means that the platform did not answer, or that it is
	// unknown whether a change was stored.
	ExitPlatformUnavailable Exit = 5
	// ExitDaemonsIncomplete means that the command succeeded, but some daemons did
	// not answer or did not confirm the revision.
	ExitDaemonsIncomplete Exit = 6
)

// Errors of this package.
var (
	// ErrUsage is returned for an invalid command line or invalid settings.
	ErrUsage = merry.Sentinel("invalid usage")
	// ErrDaemonsUnreachable is returned by status when some daemons did not answer. The
	// result, which names them, is printed too.
	ErrDaemonsUnreachable = merry.Sentinel("some daemons did not answer")
	// ErrRevisionUnconfirmed is returned when some daemons have not confirmed a
	// revision within the wait.
	ErrRevisionUnconfirmed = merry.Sentinel("some daemons have not confirmed the revision")
	// ErrPlatformUnavailable is returned when the platform did not return its list of
	// VMs.
	ErrPlatformUnavailable = merry.Sentinel("the platform did not return its list of VMs")
	// ErrLocalChanges is returned by pull if it would overwrite changes that have not
	// been applied.
	ErrLocalChanges = merry.Sentinel("the folder has local changes that pull would overwrite; use --force to discard them")
	// ErrClassNotBought is returned for a new key whose default service class its
	// client account has not bought.
	ErrClassNotBought = merry.Sentinel("the client account has not bought the service class")
	// ErrUnknownClientAccount is returned for a new key whose client account is not in
	// the folder.
	ErrUnknownClientAccount = merry.Sentinel("no such client account")
	// ErrNoRevision is returned when no revision has been applied yet.
	ErrNoRevision = merry.Sentinel("no configuration revision has been applied yet")
)

// exitStatusOf returns the exit status for an error. commandStarted tells whether the
// command itself had started; any earlier error is a usage error.
func exitStatusOf(err error, commandStarted bool) Exit {
	var conflict *revision.ConflictError
	var findings *finding.List
	switch {
	case err == nil:
		return ExitOK
	case !commandStarted, errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.As(err, &findings):
		return ExitFindings
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, revision.ErrUnavailable), errors.Is(err, revision.ErrOutcomeUnknown), errors.Is(err, ErrPlatformUnavailable):
		return ExitPlatformUnavailable
	case errors.Is(err, ErrDaemonsUnreachable), errors.Is(err, ErrRevisionUnconfirmed):
		return ExitDaemonsIncomplete
	}
	return ExitFailure
}

// hints tell the operator what to do about an error.
var hints = []struct {
	err  error
	hint string
}{
	{revision.ErrOutcomeUnknown, "Apply the same folder again; it is not stored twice."},
	{folder.ErrInvalidBaseRevision, "Write the number of the base revision into the file, or use --base."},
}

// hintFor returns the hint for an error, or an empty string.
func hintFor(err error) string {
	for _, h := range hints {
		if errors.Is(err, h.err) {
			return h.hint
		}
	}
	return ""
}
