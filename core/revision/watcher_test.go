package revision_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"acaciapath.example/core/peer"
	"acaciapath.example/core/revision"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// packed returns the stored form of a folder of one file.
func packed(text string) []byte {
	bundle, err := revision.Pack(files(text))
	if err != nil {
		panic(err)
	}
	return bundle.Data
}

func TestWatcherPoll(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	fake := newFakePlatform()
	store := revision.NewStore(fake.client())
	watcher := revision.NewWatcher(store, parse)
	changes, cancel := watcher.Subscribe()
	defer cancel()

	changed, err := watcher.Poll(ctx, start)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsFalse)
	c.Assert(watcher.Index(), qt.IsNil)

	applied(c, store, "one", "two")
	changed, err = watcher.Poll(ctx, start.Add(time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(watcher.Revision(), qt.Equals, uint64(2))
	c.Assert((<-changes).Revision, qt.Equals, uint64(2))
	c.Assert(watcher.ConfirmedAt(), qt.Equals, start.Add(time.Second))

	fake.setDown(true)
	_, err = watcher.Poll(ctx, start.Add(2*time.Second))
	c.Assert(err, qt.ErrorIs, revision.ErrUnavailable)
	c.Assert(watcher.Revision(), qt.Equals, uint64(2))
	c.Assert(watcher.ConfirmedAt(), qt.Equals, start.Add(time.Second))
}

func TestWatcherRejects(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := revision.NewStore(newFakePlatform().client())
	applied(c, store, "one", "bad")

	replaced := revision.NewWatcher(store, parse)
	for range 2 {
		_, err := replaced.Poll(ctx, start)
		c.Assert(err, qt.ErrorIs, revision.ErrRejected)
		c.Assert(err, qt.ErrorMatches, ".*a.ini:1: bad.*")
		c.Assert(replaced.Revision(), qt.Equals, uint64(1))
		c.Assert(replaced.Rejected().Revision, qt.Equals, uint64(2))
		c.Assert(replaced.ConfirmedAt(), qt.Equals, start)
	}
	applied(c, store, "three")
	changed, err := replaced.Poll(ctx, start)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(replaced.Rejected().Revision, qt.Equals, uint64(0))
}

func TestWatcherTakesCorruptContentAgain(t *testing.T) {
	c := qt.New(t)
	watcher := revision.NewWatcher(nil, parse)
	_, err := watcher.Offer(1, []byte("garbage"), start)
	c.Assert(err, qt.ErrorIs, revision.ErrCorrupt)
	changed, err := watcher.Offer(1, packed("one"), start)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
}

// TestWatcherNeverGoesBack offers revisions in any order, some of them bad, by
// the platform and by peers.
func TestWatcherNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bad := rapid.SliceOfN(rapid.Bool(), 8, 8).Draw(t, "bad")
		source := &staleSource{bad: bad}
		watcher := revision.NewWatcher(source, parse)
		seen := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			offered := rapid.Uint64Range(1, 7).Draw(t, "offered")
			if rapid.Bool().Draw(t, "poll") {
				source.head = offered
				_, _ = watcher.Poll(context.Background(), start)
			} else {
				_, _ = watcher.Offer(offered, source.text(offered), start)
			}
			inForce := watcher.Revision()
			if inForce < seen || (inForce > 0 && bad[inForce]) {
				t.Fatalf("revision %d in force after %d, bad %v", inForce, seen, bad)
			}
			if !bad[offered] && inForce < offered {
				t.Fatalf("revision %d is not in force, but %d", offered, inForce)
			}
			seen = inForce
		}
	})
}

// staleSource is a platform whose head may go back.
type staleSource struct {
	head uint64
	bad  []bool
}

func (s *staleSource) Head(context.Context) (uint64, error) { return s.head, nil }

func (s *staleSource) Content(_ context.Context, revision uint64) ([]byte, error) {
	return s.text(revision), nil
}

func (s *staleSource) text(revision uint64) []byte {
	if s.bad[revision] {
		return packed("bad")
	}
	return packed("good")
}

// fakePeer answers from a watcher, or fails.
type fakePeer struct {
	watcher *revision.Watcher
	err     error
}

func (p fakePeer) ExchangeHead(context.Context, peer.ConfigHead) (peer.ConfigHead, error) {
	if p.err != nil {
		return peer.ConfigHead{}, p.err
	}
	return p.watcher.OwnHead("peer"), nil
}

func (p fakePeer) GetConfig(_ context.Context, revision uint64) (peer.ConfigContent, error) {
	return p.watcher.Content(peer.ConfigRequest{Revision: revision})
}

func TestGossip(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	older, newer := revision.NewWatcher(nil, parse), revision.NewWatcher(nil, parse)
	_, err := older.Offer(3, packed("three"), start)
	c.Assert(err, qt.IsNil)
	_, err = newer.Offer(5, packed("five"), start)
	c.Assert(err, qt.IsNil)

	cutOff := revision.NewWatcher(nil, parse)
	c.Assert(cutOff.IsBehind(newer.OwnHead("newer")), qt.IsTrue)
	peers := []revision.Peer{fakePeer{err: errors.New("unreachable")}, fakePeer{watcher: older}, fakePeer{watcher: newer}}
	changed, err := cutOff.PollPeers(ctx, "cut-off", peers, start)
	c.Assert(err, qt.ErrorMatches, "unreachable")
	c.Assert(changed, qt.IsTrue)
	c.Assert(cutOff.Revision(), qt.Equals, uint64(5))
	c.Assert(cutOff.ConfirmedAt().IsZero(), qt.IsTrue)

	changed, err = newer.PollPeers(ctx, "newer", peers[1:], start)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsFalse)
}
