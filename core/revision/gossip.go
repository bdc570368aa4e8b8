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

// Peer is another daemon that can be asked for its revision.
type Peer interface {
	// ExchangeHead sends the head of this daemon and returns that of the peer.
	ExchangeHead(ctx context.Context, head peer.ConfigHead) (peer.ConfigHead, error)
	// GetConfig returns the content of a revision or of a newer one.
	GetConfig(ctx context.Context, revision uint64) (peer.ConfigContent, error)
}

var _ Peer = (*peer.Client)(nil)

// PollPeers exchanges heads with all peers concurrently. If some of them have a
// newer revision in force, PollPeers fetches the newest one that passes the check
// and puts it into force. self is the name of this daemon. PollPeers reports
// whether the revision in force has changed, and returns the joined errors of the
// peers. The error of one peer does not stop it from using the others.
func (w *Watcher) PollPeers(ctx context.Context, self string, peers []Peer, now time.Time) (bool, error) {
	heads, errs := w.exchangeHeads(ctx, self, peers)
	for _, i := range newerHeads(heads, w.Revision(), w.isRejected) {
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

// exchangeHeads returns the revision that each peer has in force, or 0 for a peer
// that does not answer, and the errors of those that do not answer.
func (w *Watcher) exchangeHeads(ctx context.Context, self string, peers []Peer) (heads []uint64, errs []error) {
	heads = make([]uint64, len(peers))
	failures := make([]error, len(peers))
	ownHead := w.OwnHead(self)
	var wait sync.WaitGroup
	for i, p := range peers {
		wait.Go(func() {
			head, err := p.ExchangeHead(ctx, ownHead)
			heads[i], failures[i] = head.Revision, err
		})
	}
	wait.Wait()
	return heads, slices.DeleteFunc(failures, func(err error) bool { return err == nil })
}

// OwnHead returns the head that this daemon sends to its peers. self is the name
// of this daemon.
func (w *Watcher) OwnHead(self string) peer.ConfigHead {
	return peer.ConfigHead{Name: self, Revision: w.Revision()}
}

// IsBehind reports whether the head of a peer is newer than the revision in force
// and was not rejected by this daemon.
func (w *Watcher) IsBehind(head peer.ConfigHead) bool {
	return head.Revision > w.Revision() && !w.isRejected(head.Revision)
}

func (w *Watcher) isRejected(revision uint64) bool { return w.rejection(revision) != nil }

// newerHeads returns the indexes of the heads that are newer than the revision in
// force and were not rejected, newest first.
func newerHeads(heads []uint64, inForce uint64, isRejected func(uint64) bool) []int {
	var newer []int
	for i, head := range heads {
		if head > inForce && !isRejected(head) {
			newer = append(newer, i)
		}
	}
	slices.SortStableFunc(newer, func(a, b int) int { return cmp.Compare(heads[b], heads[a]) })
	return newer
}
