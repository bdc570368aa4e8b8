package platform

import (
	"net/http"
	"time"

	"acaciapath.example/core/gen/objects"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/gen/usage"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/platform"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/record"
	"acaciapath.example/standin/serve"

	goa "goa.design/goa/v3/pkg"
)

// interfaces are all interfaces of the platform.
var interfaces = []Interface{Table, Objects, VMs, Servers, Usage}

// Server is a platform in memory. It is safe for concurrent use.
type Server struct {
	now     func() time.Time
	limits  limits
	log     *record.Log[LogEntry]
	faults  map[Interface]*fault.Injector // read-only
	table   *tableService
	objects *objectService
	vmList  *vmList
	servers *serverService
	usage   *usageService
	http    *serve.Server
}

// New returns a platform that is not served yet. Its clients in process work
// at once.
func New(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Launcher == nil {
		options.Launcher = placeholder{}
	}
	s := &Server{
		now:    options.Now,
		limits: newLimits(options.WritesPerSecond, options.ReadsPerSecond),
		log:    record.New[LogEntry](options.LogLimit),
		faults: make(map[Interface]*fault.Injector),
	}
	for _, iface := range interfaces {
		s.faults[iface] = fault.NewInjector()
	}
	s.table = newTableService(s)
	s.objects = newObjectService(s)
	s.vmList = newVMList(s, options.VMListLag, options.VMs)
	s.servers = newServerService(s, options)
	s.usage = &usageService{server: s}
	s.http = serve.New(s.handler())
	return s
}

// Start serves the platform on address, an IP number and a port; port 0 takes
// any free one.
func (s *Server) Start(address string) error { return s.http.Start(address) }

// StartFor serves the platform on a further port for one caller, so that it
// can be cut off by its name, and returns the address of the port.
func (s *Server) StartFor(caller, address string) (string, error) {
	return s.http.StartFor(caller, address)
}

// Address returns the IP number and port that Start bound.
func (s *Server) Address() string { return s.http.Address() }

// Close ends all calls and stops the backend servers that were launched.
func (s *Server) Close() error {
	for _, injector := range s.faults {
		injector.Close()
	}
	err := s.http.Close()
	s.servers.close()
	return err
}

// SetFaults replaces the faults of an interface, or of All.
func (s *Server) SetFaults(iface Interface, faults fault.Faults) {
	for name, injector := range s.faults {
		if iface == All || iface == name {
			injector.Set(faults)
		}
	}
}

// Injector returns the Injector of an interface; nil if there is none.
func (s *Server) Injector(iface Interface) *fault.Injector { return s.faults[iface] }

// Log returns the receivers' log of all interfaces.
func (s *Server) Log() *record.Log[LogEntry] { return s.log }

// Client returns a client that calls the services in process, with their
// faults, under the name of caller.
func (s *Server) Client(caller string) *platform.Client {
	e := s.endpoints(func(next goa.Endpoint) goa.Endpoint { return inProcess(caller, next) })
	return &platform.Client{
		Table:   table.NewClient(e.table.Get, e.table.List, e.table.Commit),
		Objects: objects.NewClient(e.objects.Put, e.objects.Get),
		VMs:     vms.NewClient(e.vms.List),
		Servers: servers.NewClient(e.servers.List, e.servers.Order, e.servers.Release),
		Usage:   usage.NewClient(e.usage.Report),
	}
}

// endpoints are the methods of all interfaces.
type endpoints struct {
	table   *table.Endpoints
	objects *objects.Endpoints
	vms     *vms.Endpoints
	servers *servers.Endpoints
	usage   *usage.Endpoints
}

// endpoints returns the methods of all interfaces, guarded, within outer.
func (s *Server) endpoints(outer func(goa.Endpoint) goa.Endpoint) endpoints {
	read := func(iface Interface, method string, next goa.Endpoint) goa.Endpoint {
		return outer(s.guard(endpoint{iface: iface, method: method}, next))
	}
	write := func(iface Interface, method string, next goa.Endpoint) goa.Endpoint {
		return outer(s.guard(endpoint{iface: iface, method: method, write: true}, next))
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

// named returns next with the caller of each request in its context.
func named(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := fault.WithCaller(r.Context(), fault.RequestCaller(r))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
