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
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/core/usage"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Errors of this package.
var (
	// ErrShuttingDown is returned by Ready when the daemon is shutting down.
	ErrShuttingDown = merry.Sentinel("daemon: shutting down")
	// ErrNotConfigured is returned by Ready when the daemon has not loaded a
	// configuration yet.
	ErrNotConfigured = merry.Sentinel("daemon: no configuration is in force")
	// ErrLeaseNotReleased is returned by Run when a lease could not be released on
	// shutdown. Other daemons can acquire it only after it has expired.
	ErrLeaseNotReleased = merry.Sentinel("daemon: a lease was not released")
)

// Defaults of the intervals in Options.
const (
	defaultReconcileInterval  = 2 * time.Second
	defaultUsageCheckInterval = 2 * time.Second
	defaultVMListInterval     = 5 * time.Second
)

// opsHeaderTimeout is the maximum time to read the headers of a request to the
// operations port.
const opsHeaderTimeout = 5 * time.Second

// instanceBytes is the number of random bytes in the holder name that this process
// writes into lease rows.
const instanceBytes = 8

// Options are the optional parameters of a Daemon. A zero field selects the
// default.
type Options struct {
	// Version is the version of the program.
	Version string
	// Clock returns the wall clock time and the monotonic time; by default those of
	// the operating system.
	Clock lease.Clock
	// Random is the source of the holder name and of the seed for jitter and
	// heartbeats; crypto/rand by default.
	Random io.Reader
	// ReconcileInterval is the time between two reconciliations of the pools of
	// backend servers; 2 seconds by default.
	ReconcileInterval time.Duration
	// UsageCheckInterval is the time between two checks for usage windows that are
	// due to be reported; 2 seconds by default.
	UsageCheckInterval time.Duration
	// VMListInterval is the time between two reads of the platform's list of VMs; 5
	// seconds by default.
	VMListInterval time.Duration
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = newClock()
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	o.ReconcileInterval = orDefault(o.ReconcileInterval, defaultReconcileInterval)
	o.UsageCheckInterval = orDefault(o.UsageCheckInterval, defaultUsageCheckInterval)
	o.VMListInterval = orDefault(o.VMListInterval, defaultVMListInterval)
}

func orDefault(interval, defaultInterval time.Duration) time.Duration {
	if interval > 0 {
		return interval
	}
	return defaultInterval
}

// newClock returns a clock that reads the wall clock and the monotonic clock of the
// operating system.
func newClock() lease.Clock {
	origin := time.Now()
	return func() lease.Instant {
		now := time.Now()
		return lease.Instant{Monotonic: now.Sub(origin), Wall: now.Round(0)}
	}
}

// Daemon is a control daemon. New binds its ports and Run serves them.
type Daemon struct {
	settings settings.Settings
	options  Options
	platform *platformapi.Client
	logger   *logrus.Entry
	// origin is the wall clock time at the start; adding the monotonic clock to it
	// gives a time that does not jump. See monotonicTime.
	origin time.Time

	watcher     *revision.Watcher
	vmDirectory *vmDirectory
	heartbeats  *heartbeats.Runner
	ordersLease *lease.Keeper
	usageLease  *lease.Keeper
	reconciler  *order.Reconciler
	reporter    *usage.Reporter
	// windowClock is used only by the goroutine that calls reportUsage.
	windowClock usage.Clock
	metrics     *metrics
	jitter      *mathrand.Rand

	opsListener net.Listener
	opsServer   *http.Server
	peerServer  *peer.Server

	shuttingDown atomic.Bool
}

// New returns a daemon whose ports are bound. It returns an error if a port cannot
// be bound, a TLS file cannot be loaded or the random source fails.
func New(s settings.Settings, p *platformapi.Client, logger *logrus.Logger, options Options) (*Daemon, error) {
	options.setDefaults()
	d := &Daemon{settings: s, options: options, platform: p}
	d.logger = logger.WithField(telemetry.FieldVM, s.VMName)
	d.origin = options.Clock().Wall
	if err := d.initComponents(); err != nil {
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

// initComponents creates everything that does not need a bound port.
func (d *Daemon) initComponents() error {
	var random [instanceBytes]byte
	if _, err := io.ReadFull(d.options.Random, random[:]); err != nil {
		return merry.Prepend(err, "daemon: read random source")
	}
	d.jitter = mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(random[:]), 0))
	tlsConfig, err := d.settings.TLS.Load()
	if err != nil {
		return err
	}
	d.watcher = revision.NewWatcher(revision.NewStore(d.platform), config.Parse)
	d.vmDirectory = newVMDirectory(d.settings.VMName, d.settings.FailureDomain, tlsConfig, d.platform.VMs)
	d.heartbeats = d.newHeartbeats(tlsConfig, binary.LittleEndian.Uint64(random[:]))
	holderID := d.settings.VMName + "/" + hex.EncodeToString(random[:])
	d.ordersLease = d.newLeaseKeeper(lease.OrdersName(d.settings.FailureDomain), holderID)
	d.usageLease = d.newLeaseKeeper(lease.UsageReportsName, holderID)
	d.reconciler = order.NewReconciler(d.platform.Table, d.platform.Servers, d.ordersLease, d.settings.FailureDomain)
	d.reporter = usage.NewReporter(d.platform.Table, d.platform.Usage, d.usageLease)
	return nil
}

// newHeartbeats returns the runner that sends and answers membership heartbeats.
func (d *Daemon) newHeartbeats(tlsConfig *tls.Config, seed uint64) *heartbeats.Runner {
	return heartbeats.New(heartbeats.Options{
		Self: membership.Record{
			MemberID:      membership.ID{VM: d.settings.VMName, Role: peer.RoleControl},
			FailureDomain: d.settings.FailureDomain,
		},
		TLS:     tlsConfig,
		VMs:     d.platform.VMs,
		Watcher: d.watcher,
		Clock:   d.now,
		Random:  mathrand.New(mathrand.NewPCG(seed, 1)),
		Logger:  d.logger,
	})
}

// now returns the current wall clock time.
func (d *Daemon) now() time.Time { return d.options.Clock().Wall }

// newLeaseKeeper returns the keeper of a lease. Until the list of VMs has been read, it
// polls as if it were the only candidate.
func (d *Daemon) newLeaseKeeper(name, holder string) *lease.Keeper {
	terms := lease.Terms{Name: name, Holder: holder, Duration: d.settings.LeaseDuration}
	poll := lease.PollInterval(d.settings.LeaseDuration, 1, d.jitter)
	return lease.NewKeeper(d.platform.Table, terms, poll, d.options.Clock)
}

// listen binds the peer port and the operations port.
func (d *Daemon) listen(registry *prometheus.Registry) error {
	var err error
	if d.peerServer, err = peer.Listen(d.listenAddress(d.settings.PeerPort), d.vmDirectory.tls, (*peerHandler)(d), d.heartbeats.Method()); err != nil {
		return err
	}
	d.heartbeats.SetAddress(d.PeerAddress())
	peer.RegisterTraffic(registry, namespace, d.peerServer.Traffic(), d.heartbeats.Traffic())
	if d.opsListener, err = net.Listen("tcp", d.listenAddress(d.settings.OpsPort)); err != nil {
		return merry.Prepend(err, "daemon: operations port")
	}
	d.opsServer = &http.Server{Handler: telemetry.OpsHandler(registry, d.Ready), ReadHeaderTimeout: opsHeaderTimeout}
	return nil
}

// listenAddress returns the address of a port of this daemon.
func (d *Daemon) listenAddress(port int) string {
	return net.JoinHostPort(d.settings.ListenIP, strconv.Itoa(port))
}

// close closes the ports that are bound and the connections to peers.
func (d *Daemon) close() {
	if d.opsListener != nil {
		_ = d.opsListener.Close()
	}
	if d.peerServer != nil {
		_ = d.peerServer.Close()
	}
	d.vmDirectory.close()
}

// PeerAddress returns the address at which the daemon accepts peers.
func (d *Daemon) PeerAddress() string { return d.peerServer.Address() }

// OpsAddress returns the address of the operations port.
func (d *Daemon) OpsAddress() string { return d.opsListener.Addr().String() }

// Ready returns nil if the daemon is ready, else ErrShuttingDown or
// ErrNotConfigured.
func (d *Daemon) Ready() error {
	if d.shuttingDown.Load() {
		return ErrShuttingDown
	}
	if d.watcher.Index() == nil {
		return ErrNotConfigured
	}
	return nil
}

// Status returns the state that the daemon reports to peers, to operators and in its
// metrics.
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
		Leaving:          d.shuttingDown.Load(),
		Queues:           []peer.Queue{},
		BackendServers:   []peer.BackendServer{},
		Leases:           []peer.Lease{leaseState(d.ordersLease), leaseState(d.usageLease)},
		Members:          view.Members,
		Domains:          view.Domains,
	}
}

// leaseState returns what this daemon knows of a lease.
func leaseState(k *lease.Keeper) peer.Lease {
	row := k.Row()
	return peer.Lease{Name: k.Name(), Holder: row.Holder, Fence: row.Fence, IsHolder: k.Held() != nil}
}

// monotonicTime returns the current time on a clock that does not jump.
func (d *Daemon) monotonicTime() time.Time { return d.origin.Add(d.options.Clock().Monotonic) }
