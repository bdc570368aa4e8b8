package daemon

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/membership"
	"acaciapath.example/core/order"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/peer/heartbeats"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/core/usage"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Errors of this package. The first two are reasons why a daemon is not ready.
var (
	ErrShuttingDown  = merry.Sentinel("daemon: shutting down")
	ErrNotConfigured = merry.Sentinel("daemon: no configuration is in force")
	// ErrLeaseNotReleased is returned by Run when a lease could not be given back; it
	// then expires by itself.
	ErrLeaseNotReleased = merry.Sentinel("daemon: a lease was not given back")
)

// Defaults of Options.
const (
	defaultOrderInterval = 2 * time.Second
	defaultUsageInterval = 2 * time.Second
	defaultListInterval  = 5 * time.Second
)

// opsTimeout bounds the time to read a request's headers on the operations port.
const opsTimeout = 5 * time.Second

// instanceBytes is the number of random bytes in the name of an instance.
const instanceBytes = 8

// Options are what a daemon can do without being told. The zero value of each
// field stands for its default.
type Options struct {
	// Version is the version of the program.
	Version string
	// Clock reads the clocks; by default those of the operating system.
	Clock lease.Clock
	// Random is the source of identifiers and jitter; crypto/rand by default.
	Random io.Reader
	// ReconcileInterval is how often backend servers are reconciled.
	ReconcileInterval time.Duration
	// UsageCheckInterval is how often it is checked whether a usage window is due.
	UsageCheckInterval time.Duration
	// VMListInterval is how often the platform's list of VMs is read.
	VMListInterval time.Duration
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = newClock()
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	o.ReconcileInterval = orDefault(o.ReconcileInterval, defaultOrderInterval)
	o.UsageCheckInterval = orDefault(o.UsageCheckInterval, defaultUsageInterval)
	o.VMListInterval = orDefault(o.VMListInterval, defaultListInterval)
}

func orDefault(interval, standard time.Duration) time.Duration {
	if interval > 0 {
		return interval
	}
	return standard
}

// newClock returns a clock of the operating system.
func newClock() lease.Clock {
	origin := time.Now()
	return func() lease.Instant {
		now := time.Now()
		return lease.Instant{Monotonic: now.Sub(origin), Wall: now.Round(0)}
	}
}

// Daemon is one control daemon. Its ports are bound from New on and served by
// Run.
type Daemon struct {
	settings settings.Settings
	options  Options
	platform *platform.Client
	logger   *logrus.Entry
	// origin turns a monotonic reading into a time.
	origin time.Time

	watcher    *revision.Watcher
	members    *members
	heartbeats *heartbeats.Runner
	orders     *lease.Keeper
	usage      *lease.Keeper
	reconciler *order.Reconciler
	reporter   *usage.Reporter
	// windows is used by the thread that settles alone.
	windows usage.Clock
	metrics *metrics
	jitter  *mathrand.Rand

	ops     net.Listener
	opsHTTP *http.Server
	peers   *peer.Server

	leaving atomic.Bool
}

// New returns a daemon whose ports are bound. It returns an error if a port
// cannot be bound, a TLS file cannot be used or the random source fails.
func New(s settings.Settings, p *platform.Client, logger *logrus.Logger, options Options) (*Daemon, error) {
	options.setDefaults()
	d := &Daemon{settings: s, options: options, platform: p}
	d.logger = logger.WithField(telemetry.FieldVM, s.VMName)
	d.origin = options.Clock().Wall
	if err := d.assemble(); err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	d.metrics = newMetrics(registry, d.Status)
	if err := d.listen(registry); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// assemble makes the parts that need no port.
func (d *Daemon) assemble() error {
	var random [instanceBytes]byte
	if _, err := io.ReadFull(d.options.Random, random[:]); err != nil {
		return merry.Prepend(err, "daemon: random source")
	}
	d.jitter = mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(random[:]), 0))
	tls, err := d.settings.TLS.Load()
	if err != nil {
		return err
	}
	d.watcher = revision.NewWatcher(revision.NewStore(d.platform), config.Parse)
	d.members = newMembers(d.settings.VMName, d.settings.FailureDomain, tls, d.platform.VMs)
	d.heartbeats = d.newHeartbeats(tls, binary.LittleEndian.Uint64(random[:]))
	holder := d.settings.VMName + "/" + hex.EncodeToString(random[:])
	d.orders = d.newKeeper(lease.OrdersName(d.settings.FailureDomain), holder)
	d.usage = d.newKeeper(lease.UsageName, holder)
	d.reconciler = order.NewReconciler(d.platform.Table, d.platform.Servers, d.orders, d.settings.FailureDomain)
	d.reporter = usage.NewReporter(d.platform.Table, d.platform.Usage, d.usage)
	return nil
}

// newHeartbeats returns what takes part in the membership.
func (d *Daemon) newHeartbeats(tls *tls.Config, seed uint64) *heartbeats.Runner {
	return heartbeats.New(heartbeats.Options{
		Self: membership.Record{
			MemberID:      membership.ID{VM: d.settings.VMName, Role: peer.RoleControl},
			FailureDomain: d.settings.FailureDomain,
		},
		TLS:     tls,
		VMs:     d.platform.VMs,
		Watcher: d.watcher,
		Clock:   d.now,
		Random:  mathrand.New(mathrand.NewPCG(seed, 1)),
	})
}

// now returns the present wall clock time.
func (d *Daemon) now() time.Time { return d.options.Clock().Wall }

func (d *Daemon) newKeeper(name, holder string) *lease.Keeper {
	terms := lease.Terms{Name: name, Holder: holder, Duration: d.settings.LeaseDuration}
	poll := lease.PollInterval(d.settings.LeaseDuration, 1, d.jitter)
	return lease.NewKeeper(d.platform.Table, terms, poll, d.options.Clock)
}

// listen binds the ports.
func (d *Daemon) listen(registry *prometheus.Registry) error {
	var err error
	if d.peers, err = peer.Listen(d.address(d.settings.PeerPort), d.members.tls, (*peerHandler)(d), d.heartbeats.Method()); err != nil {
		return err
	}
	d.heartbeats.SetAddress(d.PeerAddress())
	peer.RegisterTraffic(registry, namespace, d.peers.Traffic(), d.heartbeats.Traffic())
	if d.ops, err = net.Listen("tcp", d.address(d.settings.OpsPort)); err != nil {
		return merry.Prepend(err, "daemon: operations port")
	}
	d.opsHTTP = &http.Server{Handler: telemetry.OpsHandler(registry, d.Ready), ReadHeaderTimeout: opsTimeout}
	return nil
}

func (d *Daemon) address(port int) string {
	return net.JoinHostPort(d.settings.ListenIP, strconv.Itoa(port))
}

// close gives back the ports that are bound.
func (d *Daemon) close() {
	if d.ops != nil {
		_ = d.ops.Close()
	}
	if d.peers != nil {
		_ = d.peers.Close()
	}
	d.members.close()
}

// PeerAddress returns the address of the peers' port.
func (d *Daemon) PeerAddress() string { return d.peers.Address() }

// OpsAddress returns the address of the operations port.
func (d *Daemon) OpsAddress() string { return d.ops.Addr().String() }

// Ready returns nil, or why the daemon is not ready.
func (d *Daemon) Ready() error {
	if d.leaving.Load() {
		return ErrShuttingDown
	}
	if d.watcher.Index() == nil {
		return ErrNotConfigured
	}
	return nil
}

// Status returns what the daemon tells of itself.
func (d *Daemon) Status() peer.Status {
	view := d.heartbeats.View()
	return peer.Status{
		Name:             d.settings.VMName,
		Role:             peer.RoleControl,
		FailureDomain:    d.settings.FailureDomain,
		Version:          d.options.Version,
		Revision:         d.watcher.Revision(),
		ConfirmedAt:      d.watcher.ConfirmedAt(),
		RejectedRevision: d.watcher.Rejected().Revision,
		Leaving:          d.leaving.Load(),
		Queues:           []peer.Queue{},
		BackendServers:   []peer.BackendServer{},
		Leases:           []peer.Lease{leaseStatus(d.orders), leaseStatus(d.usage)},
		Members:          view.Members,
		Domains:          view.Domains,
	}
}

func leaseStatus(k *lease.Keeper) peer.Lease {
	row := k.Row()
	return peer.Lease{Name: k.Name(), Holder: row.Holder, Fence: row.Fence, IsHolder: k.Held() != nil}
}

// monotonic returns the present time on a scale that does not jump.
func (d *Daemon) monotonic() time.Time { return d.origin.Add(d.options.Clock().Monotonic) }
