package platform

import (
	"net/http"
	"slices"
	"time"

	objectsserver "acaciapath.example/core/gen/http/objects/server"
	serversserver "acaciapath.example/core/gen/http/servers/server"
	tableserver "acaciapath.example/core/gen/http/table/server"
	usageserver "acaciapath.example/core/gen/http/usage/server"
	vmsserver "acaciapath.example/core/gen/http/vms/server"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/standin/fault"

	"github.com/ansel1/merry/v2"
	goahttp "goa.design/goa/v3/http"
)

// Paths with which tests control the platform and read its log.
const (
	// PathLog returns a record.Page of LogEntry.
	PathLog = "/log"
	// PathReports returns all usage reports.
	PathReports = "/reports"
	// PathFaults accepts a FaultChange.
	PathFaults = "/faults"
	// PathEvictions accepts an Eviction.
	PathEvictions = "/evictions"
	// PathCapacity accepts a CapacityChange.
	PathCapacity = "/capacity"
	// PathVMChanges accepts a VMChange.
	PathVMChanges = "/vm-changes"
)

// ErrInvalidMessage is returned for a control message that names an unknown
// interface or an unknown kind of change.
var ErrInvalidMessage = merry.Sentinel("platform: unknown interface or change")

// FaultChange is a message that replaces the faults of an interface.
type FaultChange struct {
	// Interface is the interface, or All.
	Interface Interface `json:"interface"`
	// Faults are its new faults.
	Faults fault.Faults `json:"faults"`
}

// Eviction is a message that evicts the cheap backend servers of a failure
// domain.
type Eviction struct {
	// FailureDomain is the failure domain.
	FailureDomain string `json:"failure-domain"`
	// Notice is how long the backend servers keep running.
	Notice fault.Duration `json:"notice"`
}

// CapacityChange is a message that limits the number of backend servers of a
// kind in a failure domain.
type CapacityChange struct {
	// FailureDomain is the failure domain.
	FailureDomain string `json:"failure-domain"`
	// Kind is standard or cheap.
	Kind string `json:"kind"`
	// Servers is the limit; a negative value removes it.
	Servers int `json:"servers"`
}

// VMChangeKind is the kind of a change to the list of VMs.
type VMChangeKind string

// Kinds of changes to the list of VMs.
const (
	VMAdded   VMChangeKind = "added"
	VMLeaving VMChangeKind = "leaving"
	VMRemoved VMChangeKind = "removed"
)

// VMChange is a message that changes the list of VMs. Only VMAdded uses the
// fields after Name.
type VMChange struct {
	// Change is the kind of the change.
	Change VMChangeKind `json:"change"`
	// Name is the name of the VM.
	Name string `json:"name"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failure-domain,omitempty"`
	// Address is the IP address of the VM.
	Address string `json:"address,omitempty"`
	// PeerPort is the port on which the entry daemon accepts peers.
	PeerPort int `json:"peer-port,omitempty"`
	// ControlPort is the port on which the control daemon accepts peers.
	ControlPort int `json:"control-port,omitempty"`
}

// handler returns the HTTP handler of the interfaces and the control paths.
func (s *Server) handler() http.Handler {
	services := s.services()
	mux := http.NewServeMux()
	mux.Handle("/", withCaller(services))
	mux.Handle("GET "+PathLog, s.log)
	mux.HandleFunc("GET "+PathReports, s.sendReports)
	mux.Handle("POST "+PathFaults, fault.ControlHandler(s.applyFaultChange))
	mux.Handle("POST "+PathEvictions, fault.ControlHandler(func(m Eviction) error {
		s.EvictCheapServers(m.FailureDomain, time.Duration(m.Notice))
		return nil
	}))
	mux.Handle("POST "+PathCapacity, fault.ControlHandler(func(m CapacityChange) error {
		s.SetCapacity(ServerGroup{FailureDomain: m.FailureDomain, Kind: m.Kind}, m.Servers)
		return nil
	}))
	mux.Handle("POST "+PathVMChanges, fault.ControlHandler(s.applyVMChange))
	return mux
}

// services returns the HTTP handler of the platform's interfaces.
func (s *Server) services() http.Handler {
	mux := goahttp.NewMuxer()
	e := s.endpoints(abortLostCalls)
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	tableserver.New(e.table, mux, dec, enc, nil, nil).Mount(mux)
	objectsserver.New(e.objects, mux, dec, enc, nil, nil).Mount(mux)
	vmsserver.New(e.vms, mux, dec, enc, nil, nil).Mount(mux)
	serversserver.New(e.servers, mux, dec, enc, nil, nil).Mount(mux)
	usageserver.New(e.usage, mux, dec, enc, nil, nil).Mount(mux)
	return mux
}

func (s *Server) sendReports(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusOK, s.UsageReports())
}

func (s *Server) applyFaultChange(m FaultChange) error {
	if m.Interface != All && !slices.Contains(interfaces, m.Interface) {
		return merry.Wrap(ErrInvalidMessage, merry.AppendMessage(string(m.Interface)))
	}
	s.SetFaults(m.Interface, m.Faults)
	return nil
}

func (s *Server) applyVMChange(m VMChange) error {
	switch m.Change {
	case VMAdded:
		s.AddVM(vms.VM{
			Name:          m.Name,
			FailureDomain: m.FailureDomain,
			Address:       m.Address,
			PeerPort:      m.PeerPort,
			ControlPort:   m.ControlPort,
		})
	case VMLeaving:
		s.MarkLeaving(m.Name)
	case VMRemoved:
		s.RemoveVM(m.Name)
	default:
		return merry.Wrap(ErrInvalidMessage, merry.AppendMessage(string(m.Change)))
	}
	return nil
}
