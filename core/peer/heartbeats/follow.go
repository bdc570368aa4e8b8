package heartbeats

import (
	"context"

	"acaciapath.example/core/membership"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/revision"
)

// notice wakes followPeers.
func (r *Runner) notice() {
	select {
	case r.behind <- struct{}{}:
	default:
	}
}

// followPeers fetches newer revisions that peers have in force until ctx ends.
func (r *Runner) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.behind:
			r.follow(ctx)
		}
	}
}

// follow fetches a newer revision, if some peer has one in force.
func (r *Runner) follow(ctx context.Context) {
	r.mu.Lock()
	ahead := r.table.NewerRevisionHolders(r.options.Watcher.Revision(), followCount)
	r.mu.Unlock()
	if len(ahead) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	peers := make([]revision.Peer, len(ahead))
	for i, record := range ahead {
		peers[i] = pooledPeer{pool: r.pool, record: record}
	}
	// What cannot be had now is asked for at the next message.
	_, _ = r.options.Watcher.PollPeers(ctx, r.options.Self.VM, peers, r.options.Clock())
}

// pooledPeer is another daemon, called through the pool.
type pooledPeer struct {
	pool   *peer.Pool
	record membership.Record
}

var _ revision.Peer = pooledPeer{}

// ExchangeHead tells the peer the caller's head and returns the peer's.
func (p pooledPeer) ExchangeHead(ctx context.Context, head peer.ConfigHead) (answer peer.ConfigHead, err error) {
	err = p.pool.Call(p.record.Address, func(c *peer.Client) error {
		answer, err = c.ExchangeHead(ctx, head)
		return err
	})
	return answer, err
}

// GetConfig returns the content of a revision or of a newer one.
func (p pooledPeer) GetConfig(ctx context.Context, revision uint64) (content peer.ConfigContent, err error) {
	err = p.pool.Call(p.record.Address, func(c *peer.Client) error {
		content, err = c.GetConfig(ctx, revision)
		return err
	})
	return content, err
}
