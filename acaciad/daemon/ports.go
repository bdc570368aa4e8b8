package daemon

import (
	"sync"
	"time"

	"acaciapath.example/core/catalog"
	"acaciapath.example/core/connections"
	"acaciapath.example/core/memory"
	"acaciapath.example/platform"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Limits of connections where the configuration states none, and before the first one.
const (
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
	// quietTimeout is the idle timeout of the other ports, whose connections are few and kept.
	quietTimeout = 10 * time.Minute
)

// Descriptors and memory of connections.
const (
	// reservedDescriptors are those for files.
	reservedDescriptors = 200
	// defaultDescriptors applies if the settings do not state their number.
	defaultDescriptors = 4096
	// connectionMemory is about the memory of a connection without a request, and
	// connectionRatio the share of the VM's memory for all of them.
	connectionMemory = 24 << 10
	connectionRatio  = 0.25
	// minConnections is the least number of connections of a port.
	minConnections = 4
	// minCallers is the least number of connections of callers that the memory allows.
	minCallers = 256
)

// Shares of the descriptors for sockets. The rest is for connections to backend servers, to the
// store and to other daemons.
const (
	callersShare    = 10.0 / 16
	neighboursShare = 3.0 / 16
	readyShare      = 1.0 / 32
	metricsShare    = 1.0 / 64
)

// ports has the limits of the connections of each port.
type ports struct {
	callers, neighbours, ready, metrics *connections.Guard
	maxCallers                          int
}

// newPorts returns the limits that apply before the first configuration.
func newPorts(s platform.Settings, budget *memory.Budget, registry prometheus.Registerer, logger *logrus.Logger) ports {
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciapath_refused_connections_total",
		Help: "Connections that were refused or closed because of what they sent or how many they were, by port and reason.",
	}, []string{"port", "reason"})
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "acaciapath_request_memory_bytes",
		Help: "Memory that is held of requests and of large answers.",
	}, func() float64 { return float64(budget.Used()) })
	registry.MustRegister(refused, held)
	guard := func(port string, share float64) *connections.Guard {
		log := &refusalLog{logger: logger.WithField("port", port)}
		return connections.NewGuard(budget, connections.Limits{
			HeadBytes: defaultHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: quietTimeout,
			Connections: maxConnections(s, share),
		}, func(address, reason string) {
			refused.WithLabelValues(port, reason).Inc()
			log.write(address, reason, time.Now())
		})
	}
	p := ports{
		callers: guard("callers", callersShare), neighbours: guard("neighbours", neighboursShare),
		ready: guard("ready", readyShare), metrics: guard("metrics", metricsShare),
	}
	p.maxCallers = p.callers.Limits().Connections
	p.callers.SetLimits(p.callerLimits(catalog.Limits{}))
	return p
}

// maxConnections returns the number of connections of a port with a share of the descriptors.
func maxConnections(s platform.Settings, share float64) int {
	descriptors := s.MaxDescriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := max(descriptors-reservedDescriptors, descriptors/2)
	n := max(int(share*float64(sockets)), minConnections)
	if s.MemoryBytes > 0 {
		n = min(n, max(int(connectionRatio*float64(s.MemoryBytes)/connectionMemory), minCallers))
	}
	return n
}

// callerLimits returns the limits of connections of callers under a configuration.
func (p ports) callerLimits(limits catalog.Limits) connections.Limits {
	l := connections.Limits{HeadBytes: limits.HeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, Connections: p.maxCallers}
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultHeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// forwardedHeadBytes is the size of the headers that askers add to a request.
const forwardedHeadBytes = 2 << 10

// limitNeighbours has the neighbours' port accept every head that the callers' port accepts, since
// neighbours pass requests of callers on.
func (p ports) limitNeighbours() {
	l := p.neighbours.Limits()
	l.HeadBytes = max(defaultHeadBytes, p.callers.Limits().HeadBytes+forwardedHeadBytes)
	p.neighbours.SetLimits(l)
}

// refusalLogInterval is the least time between two lines of a refusalLog.
const refusalLogInterval = time.Second

// refusalLog logs refused connections, at most one line a refusalLogInterval. It is safe for
// concurrent use.
type refusalLog struct {
	logger *logrus.Entry

	mu         sync.Mutex // guards the fields below
	last       time.Time
	suppressed int
}

// write logs a refused connection.
func (l *refusalLog) write(address, reason string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < refusalLogInterval {
		l.suppressed++
		return
	}
	l.logger.WithFields(logrus.Fields{"address": address, "reason": reason, "not-logged": l.suppressed}).Warn("connection refused")
	l.last, l.suppressed = now, 0
}
