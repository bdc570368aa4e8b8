package platform

import (
	"net/http"
	"time"

	"acaciapath.example/core/gen/objects"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/gen/usage"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/record"
	"acaciapath.example/standin/serve"

	goa "goa.design/goa/v3/pkg"
)

// interfaces are all interfaces of the platform.
var interfaces = []Interface{Table, Objects, VMs, Servers, Usage}

// Server is a simulated platform. It is safe for concurrent use.
type Server struct {
	now        func() time.Time
	rateLimits rateLimits
	log        *record.Log[LogEntry]
	injectors  map[Interface]*fault.Injector // not modified after New
	table      *tableService
	objects    *objectService
	vmList     *vmList
	servers    *serverService
	usage      *usageService
	http       *serve.Server
}

// New returns a platform that is not served over HTTP until Start is called. Its
// in-process clients work immediately.
func New(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Launcher == nil {
		options.Launcher = placeholder{}
	}
	s := &Server{
		now:        options.Now,
		rateLimits: newRateLimits(options.WritesPerSecond, options.ReadsPerSecond),
		log:        record.New[LogEntry](options.LogLimit),
		injectors:  make(map[Interface]*fault.Injector),
	}
	for _, iface := range interfaces {
		s.injectors[iface] = fault.NewInjector()
	}
	s.table = newTableService(s)
	s.objects = newObjectService(s)
	s.vmList = newVMList(s, options.VMListLag, options.VMs)
	s.servers = newServerService(s, options)
	s.usage = &usageService{server: s}
	s.http = serve.New(s.handler())
	return s
}

// Start serves the platform on address, an IP address and port. Port 0 selects a
// free port.
func (s *Server) Start(address string) error { return s.http.Start(address) }

// StartFor serves the platform on an additional port for one caller and returns
// its address. Calls on that port carry the name of the caller, so that faults
// can be limited to it.
func (s *Server) StartFor(caller, address string) (string, error) {
	return s.http.StartFor(caller, address)
}

// Address returns the IP address and port that Start listens on.
func (s *Server) Address() string { return s.http.Address() }

// Close ends all calls and stops the launched backend servers.
func (s *Server) Close() error {
	for _, injector := range s.injectors {
		injector.Close()
	}
	err := s.http.Close()
	s.servers.close()
	return err
}

// SetFaults replaces the faults of an interface, or of all interfaces if iface is
// All.
func (s *Server) SetFaults(iface Interface, faults fault.Faults) {
	for name, injector := range s.injectors {
		if iface == All || iface == name {
			injector.Set(faults)
		}
	}
}

// Injector returns the Injector of an interface; nil if there is none.
func (s *Server) Injector(iface Interface) *fault.Injector { return s.injectors[iface] }

// Log returns the log of the calls to all interfaces.
func (s *Server) Log() *record.Log[LogEntry] { return s.log }

// Client returns a client that calls the services in process under the name of
// caller. Its calls are subject to the same faults as calls over HTTP.
func (s *Server) Client(caller string) *platformapi.Client {
	e := s.endpoints(func(next goa.Endpoint) goa.Endpoint { return inProcess(caller, next) })
	return &platformapi.Client{
		Table:   table.NewClient(e.table.Get, e.table.List, e.table.Commit),
		Objects: objects.NewClient(e.objects.Put, e.objects.Get),
		VMs:     vms.NewClient(e.vms.List),
		Servers: servers.NewClient(e.servers.List, e.servers.Order, e.servers.Release),
		Usage:   usage.NewClient(e.usage.Report),
	}
}

// endpoints holds the endpoints of all interfaces.
type endpoints struct {
	table   *table.Endpoints
	objects *objects.Endpoints
	vms     *vms.Endpoints
	servers *servers.Endpoints
	usage   *usage.Endpoints
}

// endpoints returns the instrumented endpoints of all interfaces, each wrapped
// by wrap.
func (s *Server) endpoints(wrap func(goa.Endpoint) goa.Endpoint) endpoints {
	read := func(iface Interface, method string, next goa.Endpoint) goa.Endpoint {
		return wrap(s.instrument(methodInfo{iface: iface, method: method}, next))
	}
	write := func(iface Interface, method string, next goa.Endpoint) goa.Endpoint {
		return wrap(s.instrument(methodInfo{iface: iface, method: method, write: true}, next))
	}
	return endpoints{
		table: &table.Endpoints{
			Get:    read(Table, "get", table.NewGetEndpoint(s.table)),
			List:   read(Table, "list", table.NewListEndpoint(s.table)),
			Commit: write(Table, "commit", table.NewCommitEndpoint(s.table)),
		},
		objects: &objects.Endpoints{
			Put: write(Objects, "put", objects.NewPutEndpoint(s.objects)),
			Get: read(Objects, "get", objects.NewGetEndpoint(s.objects)),
		},
		vms: &vms.Endpoints{List: read(VMs, "list", vms.NewListEndpoint(s.vmList))},
		servers: &servers.Endpoints{
			List:    read(Servers, "list", servers.NewListEndpoint(s.servers)),
			Order:   write(Servers, "order", servers.NewOrderEndpoint(s.servers)),
			Release: write(Servers, "release", servers.NewReleaseEndpoint(s.servers)),
		},
		usage: &usage.Endpoints{Report: write(Usage, "report", usage.NewReportEndpoint(s.usage))},
	}
}

// withCaller wraps next so that the context of each request has the name of its
// caller.
func withCaller(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := fault.WithCaller(r.Context(), fault.RequestCaller(r))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
