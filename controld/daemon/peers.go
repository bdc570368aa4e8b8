package daemon

import (
	"context"

	"acaciapath.example/core/peer"
)

// peerHandler handles the calls that peers make to the daemon.
type peerHandler Daemon

var _ peer.Handler = (*peerHandler)(nil)

// Status returns the state of the daemon.
func (h *peerHandler) Status(context.Context) (peer.Status, error) {
	return (*Daemon)(h).Status(), nil
}

// ExchangeHead returns the newest revision that the daemon knows of. The revision of
// the caller is ignored: if it is newer, the daemon gets it when it polls that peer.
func (h *peerHandler) ExchangeHead(context.Context, peer.ConfigHead) (peer.ConfigHead, error) {
	return h.watcher.OwnHead(h.settings.VMName), nil
}

// GetConfig returns the files of a revision.
func (h *peerHandler) GetConfig(_ context.Context, get peer.ConfigRequest) (peer.ConfigContent, error) {
	return h.watcher.Content(get)
}
