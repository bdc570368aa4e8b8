package command

import (
	"context"
	"io"
	"time"

	"acaciapath.example/acaciapath/daemons"
	"acaciapath.example/acaciapath/output"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

// confirmPollInterval is the time that waitForDaemons waits between two rounds of
// queries to all daemons.
const confirmPollInterval = 250 * time.Millisecond

// Values of confirmation.State.
const (
	stateConfirmed    = "confirmed"
	stateNotConfirmed = "not-confirmed"
	stateRejected     = "rejected"
	stateUnreachable  = "unreachable"
)

// confirmation tells whether a daemon has a revision in force.
type confirmation struct {
	daemons.Daemon
	// Revision is the revision that the daemon has in force; 0 if it has none or did
	// not answer.
	Revision uint64 `json:"revision"`
	// State is confirmed, not-confirmed, rejected or unreachable.
	State string `json:"state"`
}

// newConfirmation returns the state of a revision at the daemon that gave the answer.
// A daemon with a newer revision in force has confirmed the revision too.
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

// confirmations is a list of confirmations, which is printed as a table.
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

// waitForDaemons queries the daemons until all have the revision in force or the wait
// is over. A round of queries that has started is completed even if the wait ends
// meanwhile. If daemons have not confirmed the revision, it returns their last states
// and ErrRevisionUnconfirmed. If the VMs cannot be listed, it returns
// ErrPlatformUnavailable.
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

// listDaemons returns the daemons of all VMs that the platform lists. If the platform
// does not answer, it returns ErrPlatformUnavailable.
func listDaemons(ctx context.Context, clients *clients) ([]daemons.Daemon, error) {
	list, err := clients.platform.VMs.List(ctx)
	if err != nil {
		return nil, merry.Wrap(ErrPlatformUnavailable, merry.AppendMessage(platformapi.Reason(err)), merry.WithCause(err))
	}
	return daemons.FromVMs(list), nil
}
