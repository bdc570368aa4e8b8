package platform

import (
	"context"
	"time"

	"acaciapath.example/core/gen/table"
)

// Interface is the name of one of the platform's interfaces.
type Interface string

// The interfaces of the platform.
const (
	Table   Interface = "table"
	Objects Interface = "objects"
	VMs     Interface = "vms"
	Servers Interface = "servers"
	Usage   Interface = "usage"
	// All stands for all interfaces when faults are set.
	All Interface = "all"
)

// Outcome is what became of a call.
type Outcome string

// The outcomes of calls.
const (
	// Done is a call that was carried out.
	Done Outcome = "done"
	// Repeated is a call that had been carried out before and did nothing.
	Repeated Outcome = "repeated"
	// Conflict is a transaction whose conditions did not hold.
	Conflict Outcome = "conflict"
	// NotFound is a call for something that does not exist.
	NotFound Outcome = "not-found"
	// NoCapacity is an order that could not be met.
	NoCapacity Outcome = "no-capacity"
	// StaleFence is an order that was refused for its fencing number.
	StaleFence Outcome = "stale-fence"
	// Unavailable is a call that was refused because the interface was down or
	// over its rate.
	Unavailable Outcome = "unavailable"
	// RequestLost is a call that never took effect and got no reply.
	RequestLost Outcome = "lost"
)

// LogEntry is one call in the receivers' log. The entries of one interface are in
// the order in which the calls took effect.
type LogEntry struct {
	// Arrived is when the call came in.
	Arrived time.Time `json:"arrived"`
	// ProcessedAt is when the call took effect or was refused. ProcessedAt ≥ Arrived.
	ProcessedAt time.Time `json:"at"`
	// Interface is the interface that was called.
	Interface Interface `json:"interface"`
	// Method is the method that was called, as in core/design.
	Method string `json:"method"`
	// Caller is the name of the caller.
	Caller string `json:"caller"`
	// Holder is the process that the call names; empty if it names none.
	Holder string `json:"holder,omitempty"`
	// Fence is the fencing number of the call; 0 if it has none.
	Fence uint64 `json:"fence,omitempty"`
	// ID is the order-id, object, backend server, usage window or prefix that
	// the call names.
	ID string `json:"id,omitempty"`
	// FailureDomain is the failure domain of an order; empty in other calls.
	FailureDomain string `json:"failure-domain,omitempty"`
	// Rows are the rows that a transaction wrote. A deleted row has version 0.
	Rows []Row `json:"rows,omitempty"`
	// Outcome is what became of the call.
	Outcome Outcome `json:"outcome"`
	// ReplyLost says whether the call took effect but its reply was lost.
	ReplyLost bool `json:"reply-lost,omitempty"`
}

// Row is a row that a transaction wrote. It is read-only.
type Row struct {
	// Key is the key of the row.
	Key string `json:"key"`
	// Version is the version that the row got.
	Version uint64 `json:"version"`
	// Value is the content of the row.
	Value []byte `json:"value"`
}

// rowsOf returns rows as they are logged.
func rowsOf(rows []*table.Row) []Row {
	logged := make([]Row, len(rows))
	for i, row := range rows {
		logged[i] = Row(*row)
	}
	return logged
}

// call is a call on its way through the Server.
type call struct {
	arrived   time.Time
	caller    string
	iface     Interface
	method    string
	write     bool
	replyLost bool
}

type callKey struct{}

func withCall(ctx context.Context, c *call) context.Context {
	return context.WithValue(ctx, callKey{}, c)
}

// record adds an entry for the call of ctx. Services call it while they hold
// the lock under which the call took effect.
func (s *Server) record(ctx context.Context, e LogEntry) {
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	e.Arrived, e.ProcessedAt = c.arrived, s.now()
	e.Interface, e.Method, e.Caller = c.iface, c.method, c.caller
	if c.write && e.Outcome == Done {
		c.replyLost = s.faults[c.iface].ConsumeReplyLoss()
		e.ReplyLost = c.replyLost
	}
	s.log.Add(e)
}
