package platform

import (
	"context"
	"errors"

	"acaciapath.example/standin/fault"

	goa "goa.design/goa/v3/pkg"
)

// methodInfo describes one method of an interface.
type methodInfo struct {
	iface  Interface
	method string
	write  bool
}

// instrument wraps next, the endpoint of method m, with fault injection, rate
// limiting and logging.
func (s *Server) instrument(m methodInfo, next goa.Endpoint) goa.Endpoint {
	injector := s.injectors[m.iface]
	return func(ctx context.Context, req any) (any, error) {
		c := &call{
			arrived: s.now(),
			caller:  fault.CallerFromContext(ctx),
			iface:   m.iface,
			method:  m.method,
			write:   m.write,
		}
		ctx = withCall(ctx, c)
		faultCall := fault.Call{Caller: c.caller, Write: m.write}
		if err := injector.BeforeCall(ctx, faultCall); err != nil {
			return nil, s.recordNoEffect(ctx, err)
		}
		if !s.rateLimits.allow(m, s.now()) {
			return nil, s.recordNoEffect(ctx, errRateLimit)
		}
		res, err := next(ctx, req)
		if c.replyLost {
			return nil, fault.ErrReplyLost
		}
		if faultErr := injector.BeforeReply(ctx, faultCall); faultErr != nil {
			return nil, faultErr
		}
		return res, err
	}
}

// recordNoEffect logs a call that failed with err before it took effect and
// returns the error for the caller.
func (s *Server) recordNoEffect(ctx context.Context, err error) error {
	if errors.Is(err, fault.ErrDown) || errors.Is(err, errRateLimit) {
		s.record(ctx, LogEntry{Outcome: Unavailable})
		return unavailable(err)
	}
	s.record(ctx, LogEntry{Outcome: RequestLost})
	return err
}

// abortLostCalls wraps next so that the connection is closed if the call gets no
// reply.
func abortLostCalls(next goa.Endpoint) goa.Endpoint {
	return func(ctx context.Context, req any) (any, error) {
		res, err := next(ctx, req)
		if hasNoReply(err) {
			fault.AbortIfError(err)
		}
		return res, err
	}
}

// inProcess wraps next for a caller in the same process. The call returns when
// its context ends, but the service still executes it, as it would a request
// that has been sent over a network.
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
			if ctx.Err() != nil && hasNoReply(r.err) {
				return nil, ctx.Err()
			}
			return r.res, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// hasNoReply reports whether a call that failed with err gets no reply.
func hasNoReply(err error) bool {
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

// unavailable returns the error reply of an interface that is down or whose rate
// limit is exceeded.
func unavailable(err error) error {
	return goa.NewServiceError(err, "unavailable", false, true, false)
}
