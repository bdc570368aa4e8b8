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

// packed returns the stored form of one file.
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

	applyTexts(c, store, "one", "two")
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
	applyTexts(c, store, "one", "bad")

	watcher := revision.NewWatcher(store, parse)
	for range 2 {
		_, err := watcher.Poll(ctx, start)
		c.Assert(err, qt.ErrorIs, revision.ErrRejected)
		c.Assert(err, qt.ErrorMatches, ".*a.ini:1: bad.*")
		c.Assert(watcher.Revision(), qt.Equals, uint64(1))
		c.Assert(watcher.Rejected().Revision, qt.Equals, uint64(2))
		c.Assert(watcher.ConfirmedAt(), qt.Equals, start)
	}
	applyTexts(c, store, "three")
	changed, err := watcher.Poll(ctx, start)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(watcher.Rejected().Revision, qt.Equals, uint64(0))
}

// TestWatcherAcceptsRevisionAfterCorruptContent checks that corrupt content does
// not reject the revision: it is accepted when it is offered again with its
// content.
func TestWatcherAcceptsRevisionAfterCorruptContent(t *testing.T) {
	c := qt.New(t)
	watcher := revision.NewWatcher(nil, parse)
	_, err := watcher.Offer(1, []byte("garbage"), start)
	c.Assert(err, qt.ErrorIs, revision.ErrCorrupt)
	changed, err := watcher.Offer(1, packed("one"), start)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
}

// TestWatcherNeverGoesBack checks that the revision in force never goes back to an
// older one and never is one that fails the check, in whatever order the platform
// and peers provide revisions.
func TestWatcherNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bad := rapid.SliceOfN(rapid.Bool(), 8, 8).Draw(t, "bad")
		source := &staleSource{bad: bad}
		watcher := revision.NewWatcher(source, parse)
		previous := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			offered := rapid.Uint64Range(1, 7).Draw(t, "offered")
			if rapid.Bool().Draw(t, "poll") {
				source.head = offered
				_, _ = watcher.Poll(context.Background(), start)
			} else {
				_, _ = watcher.Offer(offered, source.content(offered), start)
			}
			inForce := watcher.Revision()
			if inForce < previous || (inForce > 0 && bad[inForce]) {
				t.Fatalf("revision %d is in force after %d; failing the check: %v", inForce, previous, bad)
			}
			if !bad[offered] && inForce < offered {
				t.Fatalf("revision %d was offered, but %d is in force", offered, inForce)
			}
			previous = inForce
		}
	})
}

// staleSource is a platform whose head may go back to an older revision.
type staleSource struct {
	head uint64
	bad  []bool
}

func (s *staleSource) Head(context.Context) (uint64, error) { return s.head, nil }

func (s *staleSource) Content(_ context.Context, revision uint64) ([]byte, error) {
	return s.content(revision), nil
}

func (s *staleSource) content(revision uint64) []byte {
	if s.bad[revision] {
		return packed("bad")
	}
	return packed("good")
}

// fakePeer answers from a watcher, or with err if it is set.
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

func TestPollPeers(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	older, newer := revision.NewWatcher(nil, parse), revision.NewWatcher(nil, parse)
	_, err := older.Offer(3, packed("three"), start)
	c.Assert(err, qt.IsNil)
	_, err = newer.Offer(5, packed("five"), start)
	c.Assert(err, qt.IsNil)

	isolated := revision.NewWatcher(nil, parse)
	c.Assert(isolated.IsBehind(newer.OwnHead("newer")), qt.IsTrue)
	peers := []revision.Peer{fakePeer{err: errors.New("unreachable")}, fakePeer{watcher: older}, fakePeer{watcher: newer}}
	changed, err := isolated.PollPeers(ctx, "isolated", peers, start)
	c.Assert(err, qt.ErrorMatches, "unreachable")
	c.Assert(changed, qt.IsTrue)
	c.Assert(isolated.Revision(), qt.Equals, uint64(5))
	c.Assert(isolated.ConfirmedAt().IsZero(), qt.IsTrue)

	changed, err = newer.PollPeers(ctx, "newer", peers[1:], start)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsFalse)
}
