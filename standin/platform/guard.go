package platform

import (
	"context"
	"errors"

	"acaciapath.example/standin/fault"

	goa "goa.design/goa/v3/pkg"
)

// endpoint describes one method of an interface.
type endpoint struct {
	iface  Interface
	method string
	write  bool
}

// guard returns next with the faults, the rate limits and the log of e.
func (s *Server) guard(e endpoint, next goa.Endpoint) goa.Endpoint {
	injector := s.faults[e.iface]
	return func(ctx context.Context, req any) (any, error) {
		c := &call{
			arrived: s.now(),
			caller:  fault.CallerFromContext(ctx),
			iface:   e.iface,
			method:  e.method,
			write:   e.write,
		}
		ctx = withCall(ctx, c)
		fc := fault.Call{Caller: c.caller, Write: e.write}
		if err := injector.BeforeCall(ctx, fc); err != nil {
			return nil, s.refuse(ctx, err)
		}
		if !s.limits.allow(e, s.now()) {
			return nil, s.refuse(ctx, errRate)
		}
		res, err := next(ctx, req)
		if c.replyLost {
			return nil, fault.ErrReplyLost
		}
		if cut := injector.BeforeReply(ctx, fc); cut != nil {
			return nil, cut
		}
		return res, err
	}
}

// refuse records a call that took no effect and returns its error.
func (s *Server) refuse(ctx context.Context, err error) error {
	if errors.Is(err, fault.ErrDown) || errors.Is(err, errRate) {
		s.record(ctx, LogEntry{Outcome: Unavailable})
		return unavailable(err)
	}
	s.record(ctx, LogEntry{Outcome: RequestLost})
	return err
}

// abort returns next such that a call without a reply ends its connection.
func abort(next goa.Endpoint) goa.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		res, err := next(ctx, req)
		if isLost(err) {
			fault.AbortIfError(err)
		}
		return res, err
	}
}

// inProcess returns next for callers in the same process: the call ends with
// its context, but takes effect if it is to.
func inProcess(caller string, next goa.Endpoint) goa.Endpoint {
	type reply struct {
		res any
		err error
	}
	return func(ctx context.Context, req any) (any, error) {
		done := make(chan reply, 1)
		go func() {
			res, err := next(fault.WithCaller(ctx, caller), req)
			done <- reply{res, err}
		}()
		select {
		case r := <-done:
			if ctx.Err() != nil && isLost(r.err) {
				return nil, ctx.Err()
			}
			return r.res, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// isLost reports whether a caller gets no reply because of err.
func isLost(err error) bool {
	for _, lost := range []error{
		fault.ErrPartitioned,
		fault.ErrRequestLost,
		fault.ErrReplyLost,
		fault.ErrCrashed,
		fault.ErrClosed,
	} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// unavailable returns the error of an interface that is down.
func unavailable(err error) error {
	return goa.NewServiceError(err, "unavailable", false, true, false)
}
