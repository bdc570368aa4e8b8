package revision

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/peer"
)

// Peer is another daemon.
type Peer interface {
	// ExchangeHead tells the peer the caller's head and returns the peer's.
	ExchangeHead(ctx context.Context, head peer.ConfigHead) (peer.ConfigHead, error)
	// GetConfig returns the content of a revision or of a newer one.
	GetConfig(ctx context.Context, revision uint64) (peer.ConfigContent, error)
}

var _ Peer = (*peer.Client)(nil)

// PollPeers exchanges heads with peers, all at once, and brings the newest
// revision that they have into force if it is newer. Self is the name of the
// daemon. It reports whether the revision in force has changed. It returns the
// errors of all peers joined; they do not keep it from using the others.
func (w *Watcher) PollPeers(ctx context.Context, self string, peers []Peer, now time.Time) (bool, error) {
	heads, errs := w.askHeads(ctx, self, peers)
	for _, i := range ahead(heads, w.Revision(), w.isRejected) {
		content, err := peers[i].GetConfig(ctx, heads[i])
		if err != nil {
			errs = append(errs, err)
			continue
		}
		changed, err := w.Offer(content.Revision, content.Data, now)
		if changed {
			return true, errors.Join(errs...)
		}
		if err != nil {
			errs = append(errs, err)
		}
	}
	return false, errors.Join(errs...)
}

// askHeads returns the revision that each peer has in force, 0 for one that
// does not answer.
func (w *Watcher) askHeads(ctx context.Context, self string, peers []Peer) (heads []uint64, errs []error) {
	heads = make([]uint64, len(peers))
	failures := make([]error, len(peers))
	own := w.OwnHead(self)
	var wait sync.WaitGroup
	for i, p := range peers {
		wait.Go(func() {
			head, err := p.ExchangeHead(ctx, own)
			heads[i], failures[i] = head.Revision, err
		})
	}
	wait.Wait()
	return heads, slices.DeleteFunc(failures, func(err error) bool { return err == nil })
}

// OwnHead returns what the daemon tells its peers.
func (w *Watcher) OwnHead(self string) peer.ConfigHead {
	return peer.ConfigHead{Name: self, Revision: w.Revision()}
}

// IsBehind reports whether a peer has a newer revision in force that this
// daemon has not rejected.
func (w *Watcher) IsBehind(head peer.ConfigHead) bool {
	return head.Revision > w.Revision() && !w.isRejected(head.Revision)
}

func (w *Watcher) isRejected(revision uint64) bool { return w.rejection(revision) != nil }

// ahead returns the peers to ask for their revision, those with the newest
// first: their heads are newer than the one in force and were not rejected.
func ahead(heads []uint64, inForce uint64, isRejected func(uint64) bool) []int {
	var newer []int
	for i, head := range heads {
		if head > inForce && !isRejected(head) {
			newer = append(newer, i)
		}
	}
	slices.SortStableFunc(newer, func(a, b int) int { return cmp.Compare(heads[b], heads[a]) })
	return newer
}
