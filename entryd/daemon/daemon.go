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
	"acaciapath.example/core/platformapi"
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

// Reasons for which a daemon is not ready; see Daemon.Ready.
var (
	ErrShuttingDown  = merry.Sentinel("daemon: shutting down")
	ErrNotConfigured = merry.Sentinel("daemon: no configuration is in force")
	ErrIsolated      = merry.Sentinel("daemon: cannot reach the platform or any neighbour")
)

// tracerName names the tracer of the daemon's spans.
const tracerName = "acaciapath.example/entryd"

// Options are the optional parameters of a daemon. The zero value of each field
// selects its default.
type Options struct {
	// Version is the version of the program.
	Version string
	// TracerProvider provides the tracer of the daemon's spans. By default no
	// spans are recorded.
	TracerProvider trace.TracerProvider
	// LeaveDelay is how long a daemon that shuts down continues to accept
	// connections after it has reported that it is not ready, so that the load
	// balancer notices.
	LeaveDelay time.Duration
	// Clock returns the current time; time.Now by default.
	Clock func() time.Time
	// Random is the source of identifiers. It must be safe for concurrent use.
	// The default is crypto/rand.
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

// Daemon is one entry daemon. New binds its ports and Run serves them.
type Daemon struct {
	settings settings.Settings
	options  Options
	platform *platformapi.Client
	logger   *logrus.Entry

	access      access.Manager
	watcher     *revision.Watcher
	scheduler   *scheduler.Scheduler
	client      *backend.Client
	directory   *backend.Directory
	homeClient  *home.Client
	meter       *usage.Meter
	usageWriter *usage.Writer
	metrics     *metrics.Metrics
	handler     *caller.Handler
	chat        *chat.Service

	callerServer *caller.Server
	opsListener  net.Listener
	opsServer    *http.Server
	peerServer   *peer.Server
	tls          *tls.Config
	membership   *heartbeats.Runner

	requestCtx     context.Context
	cancelRequests context.CancelCauseFunc
	shuttingDown   atomic.Bool
	// hasNeighbours is true once the daemon has learned of daemons on other
	// VMs. Only the goroutine that runs followConfig uses it.
	hasNeighbours bool
}

// New returns a daemon with bound ports. It returns an error if a port cannot
// be bound or a TLS file cannot be used.
func New(s settings.Settings, p *platformapi.Client, logger *logrus.Logger, options Options) (*Daemon, error) {
	options.setDefaults()
	d := &Daemon{settings: s, options: options, platform: p}
	d.logger = logger.WithField(telemetry.FieldVM, s.VMName)
	d.requestCtx, d.cancelRequests = context.WithCancelCause(context.Background())
	registry := prometheus.NewRegistry()
	if err := d.buildComponents(registry, logger); err != nil {
		return nil, err
	}
	if err := d.listen(registry); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// buildComponents creates the components that need no port.
func (d *Daemon) buildComponents(registry *prometheus.Registry, logger *logrus.Logger) error {
	o := d.options
	instanceName, err := newInstanceName(o.Random)
	if err != nil {
		return err
	}
	d.metrics = metrics.New(registry)
	metrics.RegisterState(registry, d.metricsState)
	d.watcher = revision.NewWatcher(revision.NewStore(d.platform), config.Parse)
	seed := uint64(o.Clock().UnixNano())
	d.scheduler = scheduler.New(d.settings.FailureDomain, o.Clock, mathrand.New(mathrand.NewPCG(seed, 0)))
	d.client = backend.NewClient()
	if d.tls, err = d.settings.TLS.Load(); err != nil {
		return err
	}
	d.membership = d.newMembership(d.tls)
	d.homeClient = home.NewClient(d.scheduler, d.membership, d.tls, o.Clock)
	d.directory = backend.NewDirectory(d.client, d.platform, d.scheduler, d.homeClient.Dispatches)
	d.meter = usage.NewMeter()
	d.usageWriter = usage.NewWriter(d.platform.Table, d.settings.VMName, instanceName)
	d.handler = d.newHandler(logger)
	return nil
}

// newHandler returns the handler of all requests of callers.
func (d *Daemon) newHandler(logger *logrus.Logger) *caller.Handler {
	o := d.options
	tracer := o.TracerProvider.Tracer(tracerName)
	d.chat = &chat.Service{
		Scheduler: d.homeClient, Client: d.client, Meter: d.meter, Metrics: d.metrics,
		Logger: logger, Tracer: tracer, Clock: o.Clock,
	}
	handler := &caller.Handler{
		Access: &d.access, Metrics: d.metrics, Logger: logger, Tracer: tracer,
		Clock: o.Clock, Random: o.Random,
	}
	handler.Chat, handler.IsChat = d.chat.Handler()
	handler.Plain = &plain.Handler{
		Scheduler: d.scheduler, Client: d.client,
		Claims: claims.NewStore(d.platform.Table, d.settings.VMName, o.Clock, o.Random),
		Meter:  d.meter, Metrics: d.metrics, Logger: logger, Tracer: tracer, Refuse: handler.Refuse,
	}
	return handler
}

// listen binds the ports.
func (d *Daemon) listen(registry *prometheus.Registry) error {
	var err error
	methods := append(home.NewServer(d.scheduler, &d.access).Methods(), d.membership.Method())
	if d.peerServer, err = peer.Listen(d.address(d.settings.PeerPort), d.tls, (*peerHandler)(d), methods...); err != nil {
		return err
	}
	d.membership.SetAddress(d.PeerAddress())
	peer.RegisterTraffic(registry, metrics.Namespace, d.peerServer.Traffic(), d.membership.Traffic())
	if d.opsListener, err = net.Listen("tcp", d.address(d.settings.OpsPort)); err != nil {
		return merry.Prepend(err, "daemon: operations port")
	}
	d.opsServer = &http.Server{Handler: telemetry.OpsHandler(registry, d.Ready), ReadHeaderTimeout: opsHeaderTimeout}
	onRefused := func() { d.metrics.CountControlMessage(metrics.ControlRefusedConnection) }
	d.callerServer, err = caller.Listen(d.requestCtx, d.address(d.settings.CallersPort), d.handler, onRefused)
	if err != nil {
		return merry.Prepend(err, "daemon: callers' port")
	}
	return nil
}

// opsHeaderTimeout limits the time to read the headers of a request on the
// operations port.
const opsHeaderTimeout = 5 * time.Second

func (d *Daemon) address(port int) string {
	return net.JoinHostPort(d.settings.ListenIP, strconv.Itoa(port))
}

// close closes the bound ports and all connections.
func (d *Daemon) close() {
	if d.callerServer != nil {
		d.callerServer.Close()
	}
	if d.opsListener != nil {
		_ = d.opsListener.Close()
	}
	if d.peerServer != nil {
		_ = d.peerServer.Close()
	}
	d.client.Close()
	d.homeClient.Close()
	d.cancelRequests(caller.ErrDrainTimeout)
}

// CallersAddress returns the address of the port for callers.
func (d *Daemon) CallersAddress() string { return d.callerServer.Address() }

// PeerAddress returns the address of the port for peers.
func (d *Daemon) PeerAddress() string { return d.peerServer.Address() }

// OpsAddress returns the address of the operations port.
func (d *Daemon) OpsAddress() string { return d.opsListener.Addr().String() }

// Ready returns nil if the daemon may be given work, otherwise the reason why
// not.
func (d *Daemon) Ready() error {
	if d.shuttingDown.Load() {
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

// Status returns the state that the daemon reports to peers and operators.
func (d *Daemon) Status() peer.Status {
	queues, servers := d.scheduler.Status()
	view := d.membership.View()
	return peer.Status{
		Name:             d.settings.VMName,
		Role:             peer.RoleEntry,
		FailureDomain:    d.settings.FailureDomain,
		Version:          d.options.Version,
		Revision:         d.revisionInForce(),
		ConfirmedAt:      d.watcher.ConfirmedAt(),
		RejectedRevision: d.watcher.Rejected().Revision,
		Leaving:          d.shuttingDown.Load(),
		Connections:      d.callerServer.Connections(),
		Queues:           queues,
		BackendServers:   servers,
		Members:          view.Members,
		Domains:          view.Domains,
	}
}

// revisionInForce returns the revision of the configuration in force, or 0 if
// there is none.
func (d *Daemon) revisionInForce() uint64 {
	if snapshot := d.access.Load(); snapshot != nil {
		return snapshot.Index.Revision
	}
	return 0
}

// metricsState returns the state that is exported as gauges.
func (d *Daemon) metricsState() metrics.State {
	status := d.Status()
	return metrics.State{
		Queues:         status.Queues,
		BackendServers: status.BackendServers,
		Connections:    status.Connections,
		Revision:       status.Revision,
	}
}
