package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/backup"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/sleep"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// A crash closes the connections of an engine a little before its address refuses new ones.
const (
	// refusalChecks is how often an engine whose stream broke off is asked for a connection.
	refusalChecks = 3
	// refusalCheckInterval is the time between these.
	refusalCheckInterval = 30 * time.Millisecond
)

// Results of runs with a copy on a second engine, in metrics.
const (
	handoverFromBackup     = "from-backup"
	handoverBackupRejected = "backup-not-used"
)

// chooseBackup returns the engine that keeps a copy of the run which begins at a reservation,
// or a Spec without a name.
func (x *exchange) chooseBackup(reservation *directory.Reservation) replica.Spec {
	service := x.view.Index.Service(x.service)
	if service == nil || service.Engine == nil || !service.Engine.CanBackUpRuns || !x.route.Generates {
		return replica.Spec{}
	}
	engine := backup.Engine{
		Slots: service.Engine.Slots, KVCacheTokens: service.Engine.KVCacheTokens,
		KVBytesPerToken: service.Engine.KVBytesPerToken, BytesPerSecond: service.Engine.CopyBandwidth,
	}
	work := x.metadata.Work
	run := backup.Run{Repeatable: x.route.Repeatable(), Tokens: work.PromptTokens + work.MaxOutputTokens}
	if work.PromptTokens <= 0 || !backup.IsWorthwhile(run, engine) {
		return replica.Spec{}
	}
	spec, _ := x.handler.Directory.ChooseBackup(x.service, x.copyRequirements(reservation), time.Now())
	return spec
}

// resumeFromBackup prepares the request to go on at the engine that keeps a copy of the run
// which broke off. It reports whether it did.
func (x *exchange) resumeFromBackup(ctx context.Context, reservation *directory.Reservation) bool {
	kept := x.backup
	if x.backup = (replica.Spec{}); kept.Name == "" || !x.runProgress.lost {
		return false
	}
	b := backup.Break{
		Kept: true, ReceivedEvents: x.runProgress.events, EngineGone: true,
		CallerWaits: ctx.Err() == nil && x.request.Context().Err() == nil && x.outcome != outcomeCallerLeft,
	}
	if !backup.GoesOn(b) {
		return false
	}
	b.EngineGone = x.handler.Client.refusesConnections(ctx, reservation.Spec.Address)
	now := time.Now()
	if !backup.GoesOn(b) || !x.handler.Metrics.recordSpend(budgetMove, x.handler.MoveBudgets.Spend(x.service, now)) {
		x.handler.Metrics.recordHandover(handoverBackupRejected)
		return false
	}
	x.moveTarget = x.handler.Directory.ReserveInstance(x.service, kept.Instance(), x.copyRequirements(reservation), now)
	if x.moveTarget == nil {
		x.handler.Metrics.recordHandover(handoverBackupRejected)
		return false
	}
	x.cacheCopy = platform.BackupCopy(kept.Address, x.metadata.AttemptID)
	x.handler.Metrics.recordHandover(handoverFromBackup)
	x.handler.Logger.WithFields(logrus.Fields{
		"request-id": x.metadata.AttemptID, "backend-server": reservation.Spec.Name, "to": kept.Name, "events": b.ReceivedEvents,
	}).Info("engine ended during a request, which goes on at the engine that keeps a copy")
	return true
}

// refusesConnections reports whether nothing listens at an address. A connection that times
// out does not tell that.
func (c *Client) refusesConnections(ctx context.Context, address string) bool {
	for i := range refusalChecks {
		if i > 0 {
			sleep.For(ctx, refusalCheckInterval)
		}
		connection, err := c.dialer.DialContext(ctx, "tcp", address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case err != nil:
			return false
		}
		_ = connection.Close() // nothing was sent
	}
	return false
}
