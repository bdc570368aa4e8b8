package daemon

import (
	"context"

	"acaciapath.example/core/peer"
)

// peerHandler answers the calls of peers.
type peerHandler Daemon

var _ peer.Handler = (*peerHandler)(nil)

// Status returns the state of the daemon.
func (h *peerHandler) Status(context.Context) (peer.Status, error) {
	return (*Daemon)(h).Status(), nil
}

// ExchangeHead takes a peer's head and returns the daemon's own. If the peer is ahead,
// the next round of gossip asks for its revision.
func (h *peerHandler) ExchangeHead(context.Context, peer.ConfigHead) (peer.ConfigHead, error) {
	return h.watcher.OwnHead(h.settings.VMName), nil
}

// GetConfig returns the content of a revision.
func (h *peerHandler) GetConfig(_ context.Context, get peer.ConfigRequest) (peer.ConfigContent, error) {
	return h.watcher.Content(get)
}
