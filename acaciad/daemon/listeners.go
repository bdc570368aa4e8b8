package daemon

import (
	"fmt"
	"net"
	"net/http"

	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/acaciad/reader"
	"acaciapath.example/core/connections"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/platform"
)

// MetricsPort is the TCP port at which metrics are served.
const MetricsPort = 9464

// serve serves connections of a listener, which a guard limits, until the process ends.
func (d *Daemon) serve(guard *connections.Guard, handler http.Handler, listener net.Listener) {
	server := &http.Server{Handler: handler}
	guard.Protect(server)
	d.logServeError(func() error { return server.Serve(guard.Listen(listener)) })
}

// logServeError calls serve and logs its error, if any.
func (d *Daemon) logServeError(serve func() error) {
	if err := serve(); err != nil {
		d.logger.WithError(err).Error("listener failed, no longer accepting connections on it")
	}
}

// serveReady answers the readiness check: 200 if the daemon accepts callers, else 503.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.draining.Err() != nil || !d.directory.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics starts to serve metrics. If it cannot, the daemon runs without.
func (d *Daemon) serveMetrics() {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", d.settings.IP, MetricsPort))
	if err != nil {
		d.logger.WithError(err).Warn("cannot listen on the metrics port, running without metrics")
		return
	}
	ready := func() error { return d.draining.Err() }
	go d.serve(d.ports.metrics, telemetry.OpsHandler(d.registry, ready), listener)
}

// serveNeighbours starts to relay calls of the store and to forward requests for other daemons.
func (d *Daemon) serveNeighbours() {
	if d.settings.NeighboursAddress == "" {
		d.logger.Info("no port for calls between daemons in the settings, not relaying calls for neighbours")
		return
	}
	listener, err := net.Listen("tcp4", d.settings.NeighboursAddress)
	if err != nil {
		d.logger.WithError(err).Warn("cannot listen on the neighbours address, not relaying calls for neighbours")
		return
	}
	relay := &neighbours.Relay{
		StoreAddress: d.settings.StoreAddress, Allowed: platform.IsStoreCall, Headers: []string{platform.HeaderEpoch}, StoreUnreachable: d.storeTransport.DirectFailing,
		Base: d.storeTransport.Direct(), Queue: d.writeQueue, Collector: d.collector, Memory: d.memory, Logger: d.logger,
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+reader.Path, &reader.Handler{
		Publishers: map[string]*reader.Publisher{
			platform.TableCatalog: d.catalogFeed.publisher, platform.TableServers: d.serversFeed.publisher,
			platform.TableReports: d.reportsFeed.publisher,
		},
		Logger: d.logger,
	})
	mux.Handle("/", relay)
	go d.serve(d.ports.neighbours, d.lender.Handler(mux), listener)
}
