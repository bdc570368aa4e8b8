package try

import (
	"context"
	"net"
	"strconv"
	"sync"

	controld "acaciapath.example/controld/daemon"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/settings"
	entryd "acaciapath.example/entryd/daemon"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// version is the version that the daemons report.
const version = "try"

// vm is an entry VM with its entry daemon and control daemon.
type vm struct {
	settings settings.Settings
	entry    *entryd.Daemon
	control  *controld.Daemon
}

// newVM creates the daemons of a VM and binds their ports.
func newVM(s settings.Settings, logger *logrus.Logger) (*vm, error) {
	client := platformapi.New(s.PlatformAddress, s.PlatformTimeout)
	entry, err := entryd.New(s, client, logger, entryd.Options{Version: version})
	if err != nil {
		return nil, err
	}
	control, err := controld.New(s, client, logger, controld.Options{Version: version})
	if err != nil {
		return nil, err
	}
	return &vm{settings: s, entry: entry, control: control}, nil
}

// platformVM returns the entry for the platform's list of VMs.
func (v *vm) platformVM() (vms.VM, error) {
	peerPort, err := portOf(v.entry.PeerAddress())
	if err != nil {
		return vms.VM{}, err
	}
	controlPort, err := portOf(v.control.PeerAddress())
	if err != nil {
		return vms.VM{}, err
	}
	return vms.VM{
		Name:          v.settings.VMName,
		FailureDomain: v.settings.FailureDomain,
		Address:       v.settings.ListenIP,
		PeerPort:      peerPort,
		ControlPort:   controlPort,
	}, nil
}

// portOf returns the port number of an address.
func portOf(address string) (int, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0, merry.Prepend(err, "try")
	}
	return strconv.Atoi(port)
}

// daemonGroup tracks running daemons.
type daemonGroup struct {
	wg   sync.WaitGroup
	mu   sync.Mutex // guards errs
	errs []error
	// ended is closed when the first daemon has ended.
	ended chan struct{}
	once  sync.Once // closes ended
}

func newDaemonGroup() *daemonGroup { return &daemonGroup{ended: make(chan struct{})} }

// start calls run in a goroutine and records its error.
func (g *daemonGroup) start(ctx context.Context, run func(context.Context) error) {
	g.wg.Go(func() {
		err := run(ctx)
		g.once.Do(func() { close(g.ended) })
		g.mu.Lock()
		defer g.mu.Unlock()
		if err != nil {
			g.errs = append(g.errs, err)
		}
	})
}
