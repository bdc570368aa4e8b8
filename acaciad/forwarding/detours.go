package forwarding

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"acaciapath.example/core/forwarding"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// checkTimeout bounds a check whether the own path reaches a backend server. It allows for several
// round trips between regions.
const checkTimeout = 250 * time.Millisecond

// Detours knows the backend servers that are reached through neighbours only, while the own path
// reaches others. It is safe for concurrent use.
type Detours struct {
	// Dial opens a connection to a backend server on the own path, for a check that no Monitor
	// should take for a request.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Logger logs when a detour begins and ends.
	Logger *logrus.Logger

	mu      sync.Mutex // guards detours and log
	detours *forwarding.Detours
	log     lineLimit
}

// NewDetours returns detours whose number is registered with registry.
func NewDetours(dial func(ctx context.Context, network, address string) (net.Conn, error), registry prometheus.Registerer, logger *logrus.Logger, now time.Time) *Detours {
	d := &Detours{Dial: dial, Logger: logger, detours: forwarding.NewDetours(now)}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "acaciapath_detours",
		Help: "Backend servers that neighbours reach and this VM's own path does not.",
	}, func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.detours.Len())
	}))
	return d
}

// Choose reports whether a request to the backend server at address goes through a neighbour. From
// time to time it has the own path checked.
func (d *Detours) Choose(address string) bool {
	d.mu.Lock()
	detoured, check := d.detours.Choose(address, time.Now())
	d.mu.Unlock()
	if check {
		go d.check(address)
	}
	return detoured
}

// check checks whether the own path reaches a backend server again.
func (d *Detours) check(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if connection, err := d.Dial(ctx, "tcp", address); err != nil || resets(connection) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.detours.NotReached(address, time.Now())
		return
	}
	d.Reached(address)
}

// resets reports whether a new connection is reset shortly after it was accepted, and closes it.
func resets(connection net.Conn) bool {
	defer connection.Close()
	if err := connection.SetReadDeadline(time.Now().Add(resetWait)); err != nil {
		return true
	}
	_, err := connection.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// MayAsk reports whether a neighbour may be asked for a backend server that the own path did not
// reach.
func (d *Detours) MayAsk(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detours.MayAsk(address, time.Now())
}

// ReachedByNeighbour records that a neighbour reaches a backend server that the own path does not
// reach, after MayAsk.
func (d *Detours) ReachedByNeighbour(address string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.detours.ReachedByNeighbour(address, now) {
		return
	}
	if suppressed, ok := d.log.allow(now); ok {
		d.Logger.WithFields(logrus.Fields{"address": address, "detours": d.detours.Len(), "not-logged": suppressed}).
			Info("backend server is reached through neighbours only, sending its requests there")
	}
}

// NotReachedByNeighbours records that neighbours do not reach a backend server either.
func (d *Detours) NotReachedByNeighbours(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detours.NotReachedByNeighbours(address, time.Now())
}

// Knowledge returns what is known of a backend server that the own path did not reach.
func (d *Detours) Knowledge(address string) forwarding.Knowledge {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detours.Knowledge(address, time.Now())
}

// Reached records that the own path reaches a backend server.
func (d *Detours) Reached(address string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.detours.Reached(address) {
		return
	}
	if suppressed, ok := d.log.allow(now); ok {
		d.Logger.WithFields(logrus.Fields{"address": address, "detours": d.detours.Len(), "not-logged": suppressed}).
			Info("backend server is reached on the own path again")
	}
}
