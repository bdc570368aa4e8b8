package try

import (
	"context"
	"net"
	"strconv"
	"sync"

	controld "acaciapath.example/controld/daemon"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/settings"
	entryd "acaciapath.example/entryd/daemon"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// version is what the daemons tell of themselves.
const version = "try"

// vm is one entry VM with its daemons.
type vm struct {
	settings settings.Settings
	entry    *entryd.Daemon
	control  *controld.Daemon
}

// newVM binds the ports of the daemons of one VM.
func newVM(s settings.Settings, logger *logrus.Logger) (*vm, error) {
	client := platform.New(s.PlatformAddress, s.PlatformTimeout)
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

// listed returns the VM as the platform lists it.
func (v *vm) listed() (vms.VM, error) {
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

// portOf returns the port of an address.
func portOf(address string) (int, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0, merry.Prepend(err, "try")
	}
	return strconv.Atoi(port)
}

// running are daemons that run.
type running struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	errs []error
	// ended is closed when a daemon has ended.
	ended chan struct{}
	once  sync.Once
}

func newRunning() *running { return &running{ended: make(chan struct{})} }

// start runs a daemon until ctx ends.
func (r *running) start(ctx context.Context, run func(context.Context) error) {
	r.wait.Go(func() {
		err := run(ctx)
		r.once.Do(func() { close(r.ended) })
		r.mu.Lock()
		defer r.mu.Unlock()
		if err != nil {
			r.errs = append(r.errs, err)
		}
	})
}
