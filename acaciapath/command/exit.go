package command

import (
	"errors"

	"acaciapath.example/acaciapath/folder"
	"acaciapath.example/core/finding"
	"acaciapath.example/core/revision"

	"github.com/ansel1/merry/v2"
)

// Exit is the exit status of the program.
type Exit int

// The exit statuses.
const (
	// ExitOK is success.
	ExitOK Exit = 0
	// ExitFailure is a failure of no other kind.
	ExitFailure Exit = 1
	// ExitUsage is a wrong command line or wrong settings.
	ExitUsage Exit = 2
	// ExitFindings is a folder with findings.
	ExitFindings Exit = 3
	// ExitConflict is a change that was not made against the newest revision.
	ExitConflict Exit = 4
	// ExitPlatformUnavailable is a platform that does not answer.
	ExitPlatformUnavailable Exit = 5
	// ExitDaemonsIncomplete is a command that succeeded, but for some daemons that did
	// not answer or did not confirm.
	ExitDaemonsIncomplete Exit = 6
)

// Errors of this package.
var (
	// ErrUsage is wrapped around a wrong command line.
	ErrUsage = merry.Sentinel("wrong usage")
	// ErrDaemonsUnreachable is returned when daemons did not answer or did not confirm,
	// which has been printed.
	ErrDaemonsUnreachable = merry.Sentinel("some daemons did not answer")
	// ErrRevisionUnconfirmed is returned when daemons have not confirmed a revision.
	ErrRevisionUnconfirmed = merry.Sentinel("some daemons have not confirmed the revision")
	// ErrPlatformUnavailable is returned when the platform's list of VMs does not answer.
	ErrPlatformUnavailable = merry.Sentinel("the platform does not answer")
	// ErrLocalChanges is returned by pull for a folder that would lose changes.
	ErrLocalChanges = merry.Sentinel("the folder has changes that pull would overwrite; use --force to lose them")
	// ErrClassNotBought is returned for a key with a class that its client
	// account has not bought.
	ErrClassNotBought = merry.Sentinel("the client account has not bought the service class")
	// ErrUnknownClientAccount is returned for a key of an unknown client account.
	ErrUnknownClientAccount = merry.Sentinel("there is no such client account")
	// ErrNoRevision is returned when the platform holds no revision.
	ErrNoRevision = merry.Sentinel("the platform holds no revision yet")
)

// exitStatusOf returns the exit status for an error. Started says whether the command
// itself ran; before that, every error is one of usage.
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

// hints tell what to do about an error.
var hints = []struct {
	err  error
	hint string
}{
	{revision.ErrOutcomeUnknown, "apply the same folder again: that stores it once at most"},
	{folder.ErrInvalidBaseRevision, "write the number of the revision into the file, or give --base"},
}

// hintFor returns what to do about an error, or an empty string.
func hintFor(err error) string {
	for _, h := range hints {
		if errors.Is(err, h.err) {
			return h.hint
		}
	}
	return ""
}
