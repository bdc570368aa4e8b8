package daemon

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/core/telemetry"
	adapter "acaciapath.example/platform"
)

// MetricsPort is where metrics are served.
const MetricsPort = 9464

// Limits of callers' connections.
const (
	// headerTimeout bounds how long a caller takes to send a request's headers.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is how long a connection may be idle. Callers give up
	// theirs before.
	callerIdleTimeout = 60 * time.Second
)

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
		d.logger.WithError(err).Error("a listener failed")
	}
}

// serveReady answers whether the daemon takes new callers.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.drain.Err() != nil || !d.directory.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) serveMetrics() {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", d.settings.IP, MetricsPort))
	if err != nil {
		d.logger.WithError(err).Warn("metrics are not served")
		return
	}
	ready := func() error { return d.drain.Err() }
	go d.serve(&http.Server{Handler: telemetry.OpsHandler(d.registry, ready), ReadHeaderTimeout: headerTimeout}, listener)
}

// serveNeighbours passes calls of the store on for other daemons.
func (d *Daemon) serveNeighbours() {
	if d.settings.NeighboursAddress == "" {
		d.logger.Info("the settings have no port for calls between daemons")
		return
	}
	listener, err := net.Listen("tcp4", d.settings.NeighboursAddress)
	if err != nil {
		d.logger.WithError(err).Warn("neighbours are not served")
		return
	}
	relay := &neighbours.Relay{
		StoreAddress: d.settings.StoreAddress, Allowed: adapter.IsStoreCall, StoreUnreachable: d.detour.DirectFailing,
		Base: d.detour.Direct(), Queue: d.handed, Logger: d.logger,
	}
	go d.serve(&http.Server{Handler: relay, ReadHeaderTimeout: headerTimeout}, listener)
}
