package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/peer/heartbeats"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/core/usage"
	"acaciapath.example/entryd/access"
	"acaciapath.example/entryd/backend"
	"acaciapath.example/entryd/caller"
	"acaciapath.example/entryd/chat"
	"acaciapath.example/entryd/claims"
	"acaciapath.example/entryd/home"
	"acaciapath.example/entryd/metrics"
	"acaciapath.example/entryd/plain"
	"acaciapath.example/entryd/scheduler"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Reasons why a daemon is not to be given work.
var (
	ErrShuttingDown  = merry.Sentinel("daemon: shutting down")
	ErrNotConfigured = merry.Sentinel("daemon: no configuration is in force")
	ErrIsolated      = merry.Sentinel("daemon: neither the platform nor a neighbour can be reached")
)

// tracerName names the tracer of the daemon's spans.
const tracerName = "acaciapath.example/entryd"

// Options are what a daemon can do without being told. The zero value of each
// field stands for its default.
type Options struct {
	// Version is the version of the program.
	Version string
	// TracerProvider makes the tracer of the daemon's spans; by default none are made.
	TracerProvider trace.TracerProvider
	// LeaveDelay is how long the daemon goes on accepting connections after it
	// has said that it is not ready, so that the balancer notices.
	LeaveDelay time.Duration
	// Clock returns the present time; time.Now by default.
	Clock func() time.Time
	// Random is the source of identifiers, safe for concurrent use; that of
	// crypto/rand by default.
	Random io.Reader
}

func (o *Options) setDefaults() {
	if o.TracerProvider == nil {
		o.TracerProvider = noop.NewTracerProvider()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
}

// Daemon is one entry daemon. Its ports are bound from New on and served by Run.
type Daemon struct {
	settings settings.Settings
	options  Options
	platform *platform.Client
	logger   *logrus.Entry

	access    access.Manager
	watcher   *revision.Watcher
	scheduler *scheduler.Scheduler
	client    *backend.Client
	directory *backend.Directory
	homes     *home.Client
	meter     *usage.Meter
	writer    *usage.Writer
	metrics   *metrics.Metrics
	gate      *caller.Handler
	chat      *chat.Service

	callers *caller.Server
	ops     net.Listener
	opsHTTP *http.Server
	peers   *peer.Server
	tls     *tls.Config
	members *heartbeats.Runner

	base    context.Context
	endBase context.CancelCauseFunc
	leaving atomic.Bool
	// hasNeighbours says that daemons of other VMs were heard of. Only the
	// thread that follows the configuration uses it.
	hasNeighbours bool
}

// New returns a daemon whose ports are bound. It returns an error if a port
// cannot be bound or a TLS file cannot be used.
func New(s settings.Settings, p *platform.Client, logger *logrus.Logger, options Options) (*Daemon, error) {
	options.setDefaults()
	d := &Daemon{settings: s, options: options, platform: p}
	d.logger = logger.WithField(telemetry.FieldVM, s.VMName)
	d.base, d.endBase = context.WithCancelCause(context.Background())
	registry := prometheus.NewRegistry()
	if err := d.assemble(registry, logger); err != nil {
		return nil, err
	}
	if err := d.listen(registry); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// assemble makes the parts that need no port.
func (d *Daemon) assemble(registry *prometheus.Registry, logger *logrus.Logger) error {
	o := d.options
	instance, err := newInstance(o.Random)
	if err != nil {
		return err
	}
	d.metrics = metrics.New(registry)
	metrics.RegisterState(registry, d.state)
	d.watcher = revision.NewWatcher(revision.NewStore(d.platform), config.Parse)
	seed := uint64(o.Clock().UnixNano())
	d.scheduler = scheduler.New(d.settings.FailureDomain, o.Clock, mathrand.New(mathrand.NewPCG(seed, 0)))
	d.client = backend.NewClient()
	if d.tls, err = d.settings.TLS.Load(); err != nil {
		return err
	}
	d.members = d.newMembers(d.tls)
	d.homes = home.NewClient(d.scheduler, d.members, d.tls, o.Clock)
	d.directory = backend.NewDirectory(d.client, d.platform, d.scheduler, d.homes.Dispatches)
	d.meter = usage.NewMeter()
	d.writer = usage.NewWriter(d.platform.Table, d.settings.VMName, instance)
	d.gate = d.newGate(logger)
	return nil
}

// newGate returns the handler of all requests of callers.
func (d *Daemon) newGate(logger *logrus.Logger) *caller.Handler {
	o := d.options
	tracer := o.TracerProvider.Tracer(tracerName)
	d.chat = &chat.Service{
		Scheduler: d.homes, Client: d.client, Meter: d.meter, Metrics: d.metrics,
		Logger: logger, Tracer: tracer, Clock: o.Clock,
	}
	gate := &caller.Handler{
		Access: &d.access, Metrics: d.metrics, Logger: logger, Tracer: tracer,
		Clock: o.Clock, Random: o.Random,
	}
	gate.Chat, gate.IsChat = d.chat.Handler()
	gate.Plain = &plain.Handler{
		Scheduler: d.scheduler, Client: d.client,
		Claims: claims.NewStore(d.platform.Table, d.settings.VMName, o.Clock, o.Random),
		Meter:  d.meter, Metrics: d.metrics, Logger: logger, Tracer: tracer, Refuse: gate.Refuse,
	}
	return gate
}

// listen binds the ports.
func (d *Daemon) listen(registry *prometheus.Registry) error {
	var err error
	methods := append(home.NewServer(d.scheduler, &d.access).Methods(), d.members.Method())
	if d.peers, err = peer.Listen(d.address(d.settings.PeerPort), d.tls, (*peerHandler)(d), methods...); err != nil {
		return err
	}
	d.members.SetAddress(d.PeerAddress())
	peer.RegisterTraffic(registry, metrics.Namespace, d.peers.Traffic(), d.members.Traffic())
	if d.ops, err = net.Listen("tcp", d.address(d.settings.OpsPort)); err != nil {
		return merry.Prepend(err, "daemon: operations port")
	}
	d.opsHTTP = &http.Server{Handler: telemetry.OpsHandler(registry, d.Ready), ReadHeaderTimeout: opsTimeout}
	refused := func() { d.metrics.CountControlMessage(metrics.ControlRefusedConnection) }
	d.callers, err = caller.Listen(d.base, d.address(d.settings.CallersPort), d.gate, refused)
	if err != nil {
		return merry.Prepend(err, "daemon: callers' port")
	}
	return nil
}

// opsTimeout bounds the time to read a request's headers on the operations port.
const opsTimeout = 5 * time.Second

func (d *Daemon) address(port int) string {
	return net.JoinHostPort(d.settings.ListenIP, strconv.Itoa(port))
}

// close gives back the ports that are bound.
func (d *Daemon) close() {
	if d.callers != nil {
		d.callers.Close()
	}
	if d.ops != nil {
		_ = d.ops.Close()
	}
	if d.peers != nil {
		_ = d.peers.Close()
	}
	d.client.Close()
	d.homes.Close()
	d.endBase(caller.ErrDrainTimeout)
}

// CallersAddress returns the address of the callers' port.
func (d *Daemon) CallersAddress() string { return d.callers.Address() }

// PeerAddress returns the address of the peers' port.
func (d *Daemon) PeerAddress() string { return d.peers.Address() }

// OpsAddress returns the address of the operations port.
func (d *Daemon) OpsAddress() string { return d.ops.Addr().String() }

// Ready returns nil, or why the daemon is not to be given work.
func (d *Daemon) Ready() error {
	if d.leaving.Load() {
		return ErrShuttingDown
	}
	if d.access.Load() == nil {
		return ErrNotConfigured
	}
	if d.access.Load().KeysUnconfirmed {
		return ErrIsolated
	}
	return nil
}

// Status returns what the daemon tells of itself.
func (d *Daemon) Status() peer.Status {
	queues, servers := d.scheduler.Status()
	view := d.members.View()
	return peer.Status{
		Name:             d.settings.VMName,
		Role:             peer.RoleEntry,
		FailureDomain:    d.settings.FailureDomain,
		Version:          d.options.Version,
		Revision:         d.inForce(),
		ConfirmedAt:      d.watcher.ConfirmedAt(),
		RejectedRevision: d.watcher.Rejected().Revision,
		Leaving:          d.leaving.Load(),
		Connections:      d.callers.Connections(),
		Queues:           queues,
		BackendServers:   servers,
		Members:          view.Members,
		Domains:          view.Domains,
	}
}

// inForce returns the revision that requests are served by.
func (d *Daemon) inForce() uint64 {
	if snapshot := d.access.Load(); snapshot != nil {
		return snapshot.Index.Revision
	}
	return 0
}

func (d *Daemon) state() metrics.State {
	status := d.Status()
	return metrics.State{
		Queues:         status.Queues,
		BackendServers: status.BackendServers,
		Connections:    status.Connections,
		Revision:       status.Revision,
	}
}
