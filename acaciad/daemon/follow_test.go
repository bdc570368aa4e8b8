package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/reader"
	"acaciapath.example/core/epoch"
	"acaciapath.example/core/follow"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// Parameters of the failure domain in these tests.
const (
	followBound = 2500 * time.Millisecond
	domainSize  = 10
	// busyMargin is added to followBound in checks, for a busy machine.
	busyMargin = time.Second
)

// feedDaemon is a daemon of the failure domain: its feed, its link to the store, and the
// link through which others reach it.
type feedDaemon struct {
	feed                 *feed
	storeLink, peersLink *relay.Relay
	stop                 context.CancelFunc
	stopped              chan struct{}

	mu       sync.Mutex // guards the fields below
	rows     map[string]bool
	versions []uint64
	restored int
	// epochUnknown states that rows of an epoch were applied before the epoch was noticed.
	epochUnknown bool
}

// domain is a failure domain whose daemons follow a table.
type domain struct {
	*qt.C
	store   *platformtest.Store
	daemons []*feedDaemon
	count   int
}

// newDomain starts daemons that find each other, and waits until all of them have
// settled.
func newDomain(t *testing.T) *domain {
	d := &domain{C: qt.New(t), store: platformtest.NewStore()}
	d.Cleanup(d.store.Close)
	d.store.Write(platform.TableServers, "first", nil)
	for i := range domainSize {
		d.daemons = append(d.daemons, d.start(i))
	}
	for _, v := range d.daemons {
		v.feed.setMembers(d.members())
	}
	d.writeAndWait(d.daemons)
	return d
}

// link returns a link to an address.
func (d *domain) link(target string) *relay.Relay {
	l, err := relay.New(loopback.IP().String() + ":0")
	d.Assert(err, qt.IsNil)
	l.SetTarget(target)
	d.Cleanup(func() { _ = l.Close() })
	return l
}

// start starts daemon i.
func (d *domain) start(i int) *feedDaemon {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	v := &feedDaemon{storeLink: d.link(d.store.Address()), rows: make(map[string]bool), stopped: make(chan struct{})}
	settings := platform.Settings{ServerDrain: followBound, ReconnectTime: 4 * time.Second}
	store := platform.NewStore(v.storeLink.Address(), 500*time.Millisecond, platform.NewStoreTransport())
	f := newFeed(fmt.Sprintf("vm-%d", i), platform.TableServers, settings, store, logger)
	f.awaitMembers = true
	f.apply = v.apply
	f.storeRestored = func(time.Time) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.restored++
	}
	v.feed = f
	server := loopback.NewServer(&reader.Handler{Publishers: map[string]*reader.Publisher{platform.TableServers: f.publisher}, Logger: logger})
	d.Cleanup(server.Close)
	d.Cleanup(server.CloseClientConnections)
	v.peersLink = d.link(strings.TrimPrefix(server.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() {
		defer close(v.stopped)
		f.run(ctx)
	}()
	d.Cleanup(func() { cancel(); <-v.stopped })
	return v
}

// apply applies rows to the daemon's view.
func (v *feedDaemon) apply(rows []platform.Row, snapshot bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if snapshot {
		clear(v.rows)
	}
	for _, row := range rows {
		if v.rows[row.Key] = true; row.Deleted {
			delete(v.rows, row.Key)
		}
	}
	v.versions = append(v.versions, v.feed.version)
	current, _ := epoch.Split(v.feed.version)
	v.epochUnknown = v.epochUnknown || current > v.feed.store.Epochs.Current()
	return false
}

// has reports whether the daemon knows a row.
func (v *feedDaemon) has(key string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rows[key]
}

// members returns the members of the failure domain.
func (d *domain) members() []follow.Member {
	var list []follow.Member
	for i, v := range d.daemons {
		list = append(list, follow.Member{VM: fmt.Sprintf("vm-%d", i), Address: v.peersLink.Address(), Cores: 1})
	}
	return list
}

// ranked returns the daemons in the order in which they read the table.
func (d *domain) ranked() []*feedDaemon {
	var list []*feedDaemon
	for _, m := range follow.Rank(d.members(), platform.TableServers) {
		for _, v := range d.daemons {
			if v.feed.selector.VM == m.VM {
				list = append(list, v)
			}
		}
	}
	return list
}

// writeAndWait writes a row, which each of the daemons must know within the bound, and
// returns how long the slowest one took.
func (d *domain) writeAndWait(daemons []*feedDaemon) time.Duration {
	d.Helper()
	d.count++
	key := fmt.Sprintf("row-%d", d.count)
	d.store.Write(platform.TableServers, key, nil)
	began := time.Now()
	for i, v := range daemons {
		for !v.has(key) {
			if time.Since(began) > followBound+busyMargin {
				d.Fatalf("daemon %d (%s) does not know the change after %s", i, v.feed.currentRole(), time.Since(began))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// roles returns the number of daemons in each role.
func (d *domain) roles() map[follow.Role]int {
	n := make(map[follow.Role]int)
	for _, v := range d.daemons {
		n[v.feed.currentRole()]++
	}
	return n
}

// checkVersions checks that no daemon went back to an older version.
func (d *domain) checkVersions() {
	d.Helper()
	for _, v := range d.daemons {
		v.mu.Lock()
		for i := 1; i < len(v.versions); i++ {
			d.Check(v.versions[i] >= v.versions[i-1], qt.IsTrue, qt.Commentf("%v", v.versions))
		}
		v.mu.Unlock()
	}
}

// TestOneDaemonReads checks that one daemon of a failure domain reads the table for all,
// that all of them learn changes, and that the store is called about as often as by that
// daemon alone.
func TestOneDaemonReads(t *testing.T) {
	d := newDomain(t)
	time.Sleep(3 * time.Second) // the longest hold of a daemon that started before it knew the others
	d.writeAndWait(d.daemons)
	d.Assert(d.roles(), qt.DeepEquals, map[follow.Role]int{follow.Reads: 1, follow.Follows: domainSize - 1})
	const path, seconds = "/acaciapath/rows-feed", 4
	before := d.store.Calls(path)
	time.Sleep(seconds * time.Second)
	calls := d.store.Calls(path) - before
	d.Assert(calls <= seconds*3, qt.IsTrue, qt.Commentf("%d calls in %d s", calls, seconds))
	d.checkVersions()
}

// TestReaderFails breaks the reader in several ways. The other daemons, whose own links
// are sound, must learn each change within the bound.
func TestReaderFails(t *testing.T) {
	cut := relay.Faults{DropToTarget: true, DropFromTarget: true}
	for _, test := range []struct {
		name  string
		fail  func(v *feedDaemon)
		heals func(v *feedDaemon)
	}{
		{
			name: "stopped", fail: func(v *feedDaemon) { v.stop(); <-v.stopped },
		},
		{
			name: "silent on both sides",
			fail: func(v *feedDaemon) { v.storeLink.SetFaults(cut); v.peersLink.SetFaults(cut) },
			heals: func(v *feedDaemon) {
				v.storeLink.SetFaults(relay.Faults{})
				v.peersLink.SetFaults(relay.Faults{})
			},
		},
		{
			name:  "cut off from the store",
			fail:  func(v *feedDaemon) { v.storeLink.SetFaults(cut) },
			heals: func(v *feedDaemon) { v.storeLink.SetFaults(relay.Faults{}) },
		},
		{
			name:  "store answers do not arrive",
			fail:  func(v *feedDaemon) { v.storeLink.SetFaults(relay.Faults{DropFromTarget: true}) },
			heals: func(v *feedDaemon) { v.storeLink.SetFaults(relay.Faults{}) },
		},
		{
			name:  "cut off from its followers",
			fail:  func(v *feedDaemon) { v.peersLink.SetFaults(cut) },
			heals: func(v *feedDaemon) { v.peersLink.SetFaults(relay.Faults{}) },
		},
		{
			name:  "frozen link to its followers",
			fail:  func(v *feedDaemon) { v.peersLink.SetFaults(relay.Faults{Frozen: true}) },
			heals: func(v *feedDaemon) { v.peersLink.SetFaults(relay.Faults{}) },
		},
		{
			name:  "connections reset",
			fail:  func(v *feedDaemon) { v.peersLink.CloseConnections(); v.storeLink.CloseConnections() },
			heals: func(*feedDaemon) {},
		},
		{
			name:  "slow link to its followers",
			fail:  func(v *feedDaemon) { v.peersLink.SetFaults(relay.Faults{Delay: 600 * time.Millisecond}) },
			heals: func(v *feedDaemon) { v.peersLink.SetFaults(relay.Faults{}) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDomain(t)
			ranked := d.ranked()
			test.fail(ranked[0])
			for range 4 {
				d.writeAndWait(ranked[1:])
			}
			if test.heals != nil {
				test.heals(ranked[0])
				time.Sleep(time.Second)
				for range 2 {
					d.writeAndWait(ranked)
				}
			}
			d.checkVersions()
		})
	}
}

// TestAllReadersFail has all daemons that may read for others fall silent. The others
// must then read the store themselves.
func TestAllReadersFail(t *testing.T) {
	d := newDomain(t)
	ranked := d.ranked()
	for _, v := range ranked[:3] {
		v.storeLink.SetFaults(relay.Faults{DropToTarget: true, DropFromTarget: true})
		v.peersLink.SetFaults(relay.Faults{DropToTarget: true, DropFromTarget: true})
	}
	for range 4 {
		d.writeAndWait(ranked[3:])
	}
	d.checkVersions()
}

// TestFollowersAndStoreOutage makes the store unavailable and has it forget its history.
// All daemons must notice the outage, and learn changes again once it is over.
func TestFollowersAndStoreOutage(t *testing.T) {
	d := newDomain(t)
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	time.Sleep(1500 * time.Millisecond)
	d.store.DropHistory()
	d.store.SetFault(nil)
	d.writeAndWait(d.daemons)
	for _, v := range d.daemons {
		v.mu.Lock()
		d.Check(v.restored > 0, qt.IsTrue, qt.Commentf("%s did not notice the outage", v.feed.selector.VM))
		v.mu.Unlock()
	}
	d.store.DropHistory()
	d.writeAndWait(d.daemons)
	d.checkVersions()
}

// TestFollowersLearnChangesAfterRestore has the store come back from a copy, in which
// versions that the daemons know are given out again. All daemons must learn each change,
// also while the reader is cut off from the store.
func TestFollowersLearnChangesAfterRestore(t *testing.T) {
	for _, cutReader := range []bool{false, true} {
		t.Run(fmt.Sprintf("reader cut off %t", cutReader), func(t *testing.T) {
			t.Parallel()
			d := newDomain(t)
			backup := d.store.Backup()
			for range 8 {
				d.store.Write(platform.TableServers, "lost", nil)
			}
			d.writeAndWait(d.daemons)
			ranked := d.ranked()
			if cutReader {
				ranked[0].storeLink.SetFaults(relay.Faults{DropToTarget: true, DropFromTarget: true})
			}
			d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
			time.Sleep(300 * time.Millisecond)
			d.store.Restore(backup)
			d.store.SetFault(nil)
			for range 3 {
				d.writeAndWait(ranked[1:])
			}
			ranked[0].storeLink.SetFaults(relay.Faults{})
			for range 2 {
				d.writeAndWait(ranked)
			}
			for _, v := range d.daemons {
				d.Check(v.has("lost"), qt.IsFalse)
				v.mu.Lock()
				d.Check(v.epochUnknown, qt.IsFalse)
				v.mu.Unlock()
			}
			d.checkVersions()
		})
	}
}

// TestReaderWithoutStoreTellsItsRows has a daemon start to follow a reader whose store
// does not answer. It must notice that, and still apply the rows that the reader has.
func TestReaderWithoutStoreTellsItsRows(t *testing.T) {
	c := qt.New(t)
	server := loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"version":5,"snapshot":true,"failing":true,"rows":[{"key":"a","version":4}]}`+"\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	c.Cleanup(server.Close)
	c.Cleanup(server.CloseClientConnections)
	members := []follow.Member{{VM: "reader", Address: strings.TrimPrefix(server.URL, "http://"), Cores: 4}}
	for i := range follow.MinMembers {
		members = append(members, follow.Member{VM: fmt.Sprintf("vm-%d", i), Address: "127.0.0.1:1", Cores: 1})
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	store := platform.NewStore("127.0.0.1:1", time.Second, platform.NewStoreTransport())
	f := newFeed("vm-0", platform.TableServers, platform.Settings{ServerDrain: followBound}, store, logger)
	f.coldStart = true
	f.setMembers(members)
	applied, failed := make(chan string, 10), make(chan bool, 100)
	f.apply = func(rows []platform.Row, snapshot bool) bool {
		applied <- fmt.Sprint(rows[0].Key, snapshot)
		return false
	}
	f.storeFailed = func(time.Time) { failed <- true }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); f.run(ctx) }()
	c.Cleanup(func() { cancel(); <-ended })
	select {
	case got := <-applied:
		c.Assert(got, qt.Equals, "atrue")
	case <-time.After(10 * time.Second):
		c.Fatal("the rows were not applied")
	}
	c.Assert(<-failed, qt.IsTrue)
}

// TestMembersChange adds a daemon that some do not know yet, and removes others.
func TestMembersChange(t *testing.T) {
	d := newDomain(t)
	d.daemons = append(d.daemons, d.start(domainSize))
	for i, v := range d.daemons {
		if i%2 == 0 {
			v.feed.setMembers(d.members())
		}
	}
	for range 3 {
		d.writeAndWait(d.daemons)
	}
	for _, v := range d.daemons {
		v.feed.setMembers(d.members()[:follow.MinMembers-1])
	}
	for range 3 {
		d.writeAndWait(d.daemons)
	}
	d.checkVersions()
}
