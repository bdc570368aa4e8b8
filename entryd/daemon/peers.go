package daemon

import (
	"context"
	"crypto/tls"
	mathrand "math/rand/v2"

	"acaciapath.example/core/membership"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/peer/heartbeats"
	"acaciapath.example/entryd/home"
	"acaciapath.example/entryd/metrics"
)

// peerHandler handles the calls of peers.
type peerHandler Daemon

var (
	_ peer.Handler = (*peerHandler)(nil)
	_ home.Locator = (*heartbeats.Runner)(nil)
)

// Status returns the state of the daemon.
func (h *peerHandler) Status(context.Context) (peer.Status, error) {
	h.metrics.CountControlMessage(metrics.ControlPeer)
	return (*Daemon)(h).Status(), nil
}

// ExchangeHead returns the daemon's own head and ignores that of the peer. If
// the peer has a newer revision, the daemon learns of it through a heartbeat.
func (h *peerHandler) ExchangeHead(_ context.Context, _ peer.ConfigHead) (peer.ConfigHead, error) {
	h.metrics.CountControlMessage(metrics.ControlPeer)
	return h.watcher.OwnHead(h.settings.VMName), nil
}

// GetConfig returns the content of a revision.
func (h *peerHandler) GetConfig(_ context.Context, get peer.ConfigRequest) (peer.ConfigContent, error) {
	h.metrics.CountControlMessage(metrics.ControlPeer)
	return h.watcher.Content(get)
}

// newMembership returns the runner that exchanges heartbeats with the other
// daemons. The membership view determines the daemon's share of the limits.
func (d *Daemon) newMembership(tls *tls.Config) *heartbeats.Runner {
	seed := uint64(d.options.Clock().UnixNano())
	return heartbeats.New(heartbeats.Options{
		Self: membership.Record{
			MemberID:      membership.ID{VM: d.settings.VMName, Role: peer.RoleEntry},
			FailureDomain: d.settings.FailureDomain,
		},
		TLS:      tls,
		VMs:      d.platform.VMs,
		Watcher:  d.watcher,
		Clock:    d.options.Clock,
		Random:   mathrand.New(mathrand.NewPCG(seed, 1)),
		OnPeriod: func(view *membership.View) { d.scheduler.SetLimitShare(view.LimitShare) },
		Logger:   d.logger,
	})
}
