package command

import (
	"context"
	"io"
	"time"

	"acaciapath.example/acaciapath/daemons"
	"acaciapath.example/acaciapath/output"
	"acaciapath.example/core/platform"

	"github.com/ansel1/merry/v2"
)

// confirmPollInterval is how long waitForDaemons waits between two surveys.
const confirmPollInterval = 250 * time.Millisecond

// States of a confirmation.
const (
	stateConfirmed   = "confirmed"
	stateNotConfirmed     = "not-confirmed"
	stateRejected    = "rejected"
	stateUnreachable = "unreachable"
)

// confirmation says whether a daemon has a revision in force.
type confirmation struct {
	daemons.Daemon
	// Revision is the revision in force; 0 means none, or that the daemon did
	// not answer.
	Revision uint64 `json:"revision"`
	// State is confirmed, not-confirmed, rejected or unreachable.
	State string `json:"state"`
}

// newConfirmation judges the answer of a daemon.
func newConfirmation(a daemons.Answer, revision uint64) confirmation {
	c := confirmation{Daemon: a.Daemon, State: stateUnreachable}
	if a.Status == nil {
		return c
	}
	c.Revision = a.Status.Revision
	switch {
	case c.Revision >= revision:
		c.State = stateConfirmed
	case a.Status.RejectedRevision == revision:
		c.State = stateRejected
	default:
		c.State = stateNotConfirmed
	}
	return c
}

// confirmations are a table of daemons.
type confirmations []confirmation

var _ output.Result = confirmations{}

// WriteText writes a line for each daemon.
func (list confirmations) WriteText(w io.Writer) error {
	grid := output.Grid{Header: []string{"VM", "ROLE", "FAILURE DOMAIN", "REVISION", "STATE"}}
	for _, c := range list {
		grid.Add(c.VM, c.Role, c.FailureDomain, c.Revision, c.State)
	}
	return grid.WriteText(w)
}

// waitForDaemons asks the daemons until all have the revision in force or the
// wait is over; a round that has begun is not cut short by its end. It returns
// ErrUnconfirmed with what they said last, or ErrPlatform.
func waitForDaemons(ctx context.Context, clients *clients, revision uint64, wait time.Duration) ([]confirmation, error) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	list, err := listDaemons(ctx, clients)
	if err != nil {
		return nil, err
	}
	for {
		answers := daemons.QueryStatus(ctx, list, clients.tls)
		result := make(confirmations, len(answers))
		unconfirmed := 0
		for i, a := range answers {
			result[i] = newConfirmation(a, revision)
			if result[i].State != stateConfirmed {
				unconfirmed++
			}
		}
		if unconfirmed == 0 {
			return result, nil
		}
		select {
		case <-waitCtx.Done():
			return result, merry.Wrap(ErrRevisionUnconfirmed, merry.AppendMessagef("%d of %d", unconfirmed, len(answers)))
		case <-time.After(confirmPollInterval):
		}
	}
}

// listDaemons returns the daemons of the platform's list of VMs.
// It returns ErrPlatform.
func listDaemons(ctx context.Context, clients *clients) ([]daemons.Daemon, error) {
	list, err := clients.platform.VMs.List(ctx)
	if err != nil {
		return nil, merry.Wrap(ErrPlatformUnavailable, merry.AppendMessage(platform.Reason(err)), merry.WithCause(err))
	}
	return daemons.FromVMs(list), nil
}
