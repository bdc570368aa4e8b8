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
	// All means all interfaces. It is valid only in FaultChange and SetFaults.
	All Interface = "all"
)

// Outcome describes the result of a call.
type Outcome string

// Outcomes of calls.
const (
	// Done means that the call was executed.
	Done Outcome = "done"
	// Repeated means that the same call had been executed before, so that this
	// one had no effect.
	Repeated Outcome = "repeated"
	// Conflict means that a condition of a transaction did not hold, or that an
	// object exists with different content.
	Conflict Outcome = "conflict"
	// NotFound means that the named object or backend server does not exist.
	NotFound Outcome = "not-found"
	// NoCapacity means that an order was rejected for lack of capacity.
	NoCapacity Outcome = "no-capacity"
	// StaleFence means that an order or release was rejected because of its
	// stale fencing token.
	StaleFence Outcome = "stale-fence"
	// Unavailable means that the call was rejected because the interface was
	// down or its rate limit was exceeded.
	Unavailable Outcome = "unavailable"
	// RequestLost means that the call had no effect and got no reply.
	RequestLost Outcome = "lost"
)

// LogEntry is one call in the log. The entries of one interface are in the order
// in which the calls took effect.
type LogEntry struct {
	// ArrivedAt is when the call was received.
	ArrivedAt time.Time `json:"arrived"`
	// ProcessedAt is when the call took effect or was rejected. ProcessedAt ≥
	// ArrivedAt.
	ProcessedAt time.Time `json:"at"`
	// Interface is the interface that was called.
	Interface Interface `json:"interface"`
	// Method is the name of the method in core/design.
	Method string `json:"method"`
	// Caller is the name of the caller.
	Caller string `json:"caller"`
	// Holder is the process named as the lease holder in the call; empty if the
	// call has none.
	Holder string `json:"holder,omitempty"`
	// Fence is the fencing token of the call; 0 if it has none.
	Fence uint64 `json:"fence,omitempty"`
	// ID identifies the object of the call: an order ID, object name, backend
	// server, usage window, failure domain, key or key prefix.
	ID string `json:"id,omitempty"`
	// FailureDomain is the failure domain of an order or release; empty in other
	// calls.
	FailureDomain string `json:"failure-domain,omitempty"`
	// Rows are the rows written by a transaction. A deleted row has version 0.
	Rows []Row `json:"rows,omitempty"`
	// Outcome is the result of the call.
	Outcome Outcome `json:"outcome"`
	// ReplyLost reports that the call took effect but its reply was lost.
	ReplyLost bool `json:"reply-lost,omitempty"`
}

// Row is a row written by a transaction. It must not be modified.
type Row struct {
	// Key is the key of the row.
	Key string `json:"key"`
	// Version is the version assigned to the row.
	Version uint64 `json:"version"`
	// Value is the content of the row.
	Value []byte `json:"value"`
}

// logRows converts rows to their form in the log.
func logRows(rows []*table.Row) []Row {
	logged := make([]Row, len(rows))
	for i, row := range rows {
		logged[i] = Row(*row)
	}
	return logged
}

// call is the state of a call while it is processed.
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

// record adds e to the log as the entry of the call in ctx, and decides whether
// the reply of the call is lost. Services must call it while they hold the lock
// under which the call took effect, so that the log has the order of the effects.
func (s *Server) record(ctx context.Context, e LogEntry) {
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	e.ArrivedAt, e.ProcessedAt = c.arrived, s.now()
	e.Interface, e.Method, e.Caller = c.iface, c.method, c.caller
	if c.write && e.Outcome == Done {
		c.replyLost = s.injectors[c.iface].ConsumeReplyLoss()
		e.ReplyLost = c.replyLost
	}
	s.log.Add(e)
}
