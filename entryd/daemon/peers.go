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

// peerHandler answers the calls of peers.
type peerHandler Daemon

var (
	_ peer.Handler = (*peerHandler)(nil)
	_ home.Chooser = (*heartbeats.Runner)(nil)
)

// Status returns the state of the daemon.
func (h *peerHandler) Status(context.Context) (peer.Status, error) {
	h.metrics.Controlled(metrics.ControlPeer)
	return (*Daemon)(h).Status(), nil
}

// Head takes a peer's head and returns the daemon's own. If the peer is ahead,
// the daemon hears of it by a heartbeat.
func (h *peerHandler) Head(_ context.Context, _ peer.Head) (peer.Head, error) {
	h.metrics.Controlled(metrics.ControlPeer)
	return h.watcher.Head(h.settings.Name), nil
}

// GetConfig returns the content of a revision.
func (h *peerHandler) GetConfig(_ context.Context, get peer.GetConfig) (peer.ConfigContent, error) {
	h.metrics.Controlled(metrics.ControlPeer)
	return h.watcher.Content(get)
}

// newMembers returns what takes part in the membership. Its view decides the
// daemon's share of the limits.
func (d *Daemon) newMembers(tls *tls.Config) *heartbeats.Runner {
	seed := uint64(d.options.Clock().UnixNano())
	return heartbeats.New(heartbeats.Options{
		Self: membership.Record{
			MemberID:      membership.ID{VM: d.settings.Name, Role: peer.RoleEntry},
			FailureDomain: d.settings.FailureDomain,
		},
		TLS:     tls,
		VMs:     d.platform.VMs,
		Watcher: d.watcher,
		Clock:   d.options.Clock,
		Random:  mathrand.New(mathrand.NewPCG(seed, 1)),
		Changed: func(view *membership.View) { d.scheduler.SetShare(view.Share) },
	})
}
