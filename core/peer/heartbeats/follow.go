package heartbeats

import (
	"context"

	"acaciapath.example/core/membership"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/revision"
)

// wakeFollowPeers makes followPeers check whether a peer has a newer revision. It
// does not block.
func (r *Runner) wakeFollowPeers() {
	select {
	case r.checkPeers <- struct{}{}:
	default:
	}
}

// followPeers fetches the newer revisions that peers have in force, until ctx is
// done.
func (r *Runner) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.checkPeers:
			r.fetchNewer(ctx)
		}
	}
}

// fetchNewer fetches a newer revision if a peer is known to have one in force.
func (r *Runner) fetchNewer(ctx context.Context) {
	r.mu.Lock()
	holders := r.table.DaemonsAhead(r.options.Watcher.Revision(), maxFetchPeers)
	r.mu.Unlock()
	if len(holders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := make([]revision.Peer, len(holders))
	for i, record := range holders {
		peers[i] = pooledPeer{pool: r.pool, record: record}
	}
	// A revision that cannot be fetched now is tried again after the next
	// message of a peer.
	_, _ = r.options.Watcher.PollPeers(ctx, r.options.Self.VM, peers, r.options.Clock())
}

// pooledPeer is a revision.Peer that is called through the pool.
type pooledPeer struct {
	pool   *peer.Pool
	record membership.Record
}

var _ revision.Peer = pooledPeer{}

// ExchangeHead implements revision.Peer.
func (p pooledPeer) ExchangeHead(ctx context.Context, head peer.ConfigHead) (answer peer.ConfigHead, err error) {
	err = p.pool.Call(p.record.Address, func(c *peer.Client) error {
		answer, err = c.ExchangeHead(ctx, head)
		return err
	})
	return answer, err
}

// GetConfig implements revision.Peer.
func (p pooledPeer) GetConfig(ctx context.Context, revision uint64) (content peer.ConfigContent, err error) {
	err = p.pool.Call(p.record.Address, func(c *peer.Client) error {
		content, err = c.GetConfig(ctx, revision)
		return err
	})
	return content, err
}
