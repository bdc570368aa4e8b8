package heartbeats_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/membership"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/peer/heartbeats"
	"acaciapath.example/core/revision"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// eventuallyTimeout bounds the time that eventually waits.
const eventuallyTimeout = 30 * time.Second

// errDown is the error of a platform that is unavailable.
var errDown = errors.New("down")

// platform is a platform whose List returns list. List fails if list is nil, and
// all other calls always fail.
type platform struct{ list []*vms.VM }

func (p *platform) List(context.Context) ([]*vms.VM, error) {
	if p.list == nil {
		return nil, errDown
	}
	return p.list, nil
}

func (p *platform) Head(context.Context) (uint64, error) { return 0, errDown }

func (p *platform) Content(context.Context, uint64) ([]byte, error) { return nil, errDown }

// daemon is the part of a daemon that exchanges heartbeats and revisions.
type daemon struct {
	watcher *revision.Watcher
	runner  *heartbeats.Runner
	server  *peer.Server
	stop    func()
}

// Status is not called.
func (d *daemon) Status(context.Context) (peer.Status, error) { return peer.Status{}, nil }

// ExchangeHead implements peer.Handler.
func (d *daemon) ExchangeHead(context.Context, peer.ConfigHead) (peer.ConfigHead, error) {
	return d.watcher.OwnHead("vm"), nil
}

// GetConfig implements peer.Handler.
func (d *daemon) GetConfig(_ context.Context, request peer.ConfigRequest) (peer.ConfigContent, error) {
	return d.watcher.Content(request)
}

// newDaemon returns a daemon whose peers' port is open. It sends no heartbeats and
// does not read the list of p until run.
func newDaemon(c *qt.C, name string, p *platform) *daemon {
	parse := func([]config.File) (*config.Config, error) { return &config.Config{}, nil }
	d := &daemon{watcher: revision.NewWatcher(p, parse)}
	d.runner = heartbeats.New(heartbeats.Options{
		Self:    membership.Record{MemberID: membership.ID{VM: name, Role: peer.RoleEntry}, FailureDomain: "quito-a"},
		VMs:     p,
		Watcher: d.watcher,
		Clock:   time.Now,
		Random:  rand.New(rand.NewPCG(1, uint64(len(name)))),
	})
	var err error
	d.server, err = peer.Listen("127.0.0.1:0", nil, d, d.runner.Method())
	c.Assert(err, qt.IsNil)
	d.runner.SetAddress(d.server.Address())
	return d
}

// run runs the daemon until stop is called.
func (d *daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.runner.Run(ctx)
	}()
	d.stop = func() {
		cancel()
		<-done
		_ = d.server.Close()
	}
}

func eventually(c *qt.C, condition func() bool) {
	for deadline := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatal("timed out waiting for the condition")
		}
	}
}

// TestRunners starts three daemons, of which only one can read the platform's
// list. It checks that they find each other, that all of them get a revision that
// only one has, and that the others notice when one stops.
func TestRunners(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	listed := &platform{}
	daemons := make([]*daemon, 3)
	for i := range daemons {
		p := &platform{}
		if i == 0 {
			p = listed
		}
		daemons[i] = newDaemon(c, fmt.Sprint("vm-", i), p)
		address := netip.MustParseAddrPort(daemons[i].server.Address())
		listed.list = append(listed.list, &vms.VM{
			Name: fmt.Sprint("vm-", i), FailureDomain: "quito-a", Address: "127.0.0.1", PeerPort: int(address.Port()),
		})
	}
	for _, d := range daemons {
		d.run()
	}
	eventually(c, func() bool {
		for _, d := range daemons {
			if len(d.runner.View().Live()) != 3 || d.runner.View().LimitShare != 1.0/3 {
				return false
			}
		}
		return true
	})
	c.Check(daemons[0].runner.View().Home("key"), qt.Equals, daemons[2].runner.View().Home("key"))
	bundle, err := revision.Pack([]config.File{{Name: "a.ini", Text: "x"}})
	c.Assert(err, qt.IsNil)
	_, err = daemons[1].watcher.Offer(7, bundle.Data, time.Now())
	c.Assert(err, qt.IsNil)
	eventually(c, func() bool {
		return daemons[0].watcher.Revision() == 7 && daemons[2].watcher.Revision() == 7
	})
	daemons[2].runner.Leave()
	daemons[2].stop()
	for _, d := range daemons[:2] {
		eventually(c, func() bool { return len(d.runner.View().Live()) == 2 && d.runner.View().LimitShare == 0.5 })
	}
	c.Check(daemons[0].runner.Traffic().BytesSent.Load() > 0, qt.IsTrue)
	daemons[0].stop()
	daemons[1].stop()
}
