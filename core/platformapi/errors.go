package platformapi

import (
	"errors"
	"io"
	"net"
	"syscall"

	"acaciapath.example/core/gen/table"

	goa "goa.design/goa/v3/pkg"
)

// Error names in the platform's responses. All of them mean that the platform did
// not apply the request.
const (
	errorUnavailable = "unavailable"
	errorNotFound    = "not-found"
	errorNoCapacity  = "no-capacity"
	errorStaleFence  = "stale-fence"
)

// AsConflict returns the conflict in err's chain that made a transaction fail, or
// nil if there is none.
func AsConflict(err error) *table.Conflict {
	var conflict *table.Conflict
	if errors.As(err, &conflict) {
		return conflict
	}
	return nil
}

// HadNoEffect reports whether a write that failed with err is known to have
// changed nothing: the platform rejected it, or no connection to the platform was
// established. A write that was sent but not answered may have taken effect.
func HadNoEffect(err error) bool {
	if AsConflict(err) != nil {
		return true
	}
	switch errorName(err) {
	case errorUnavailable, errorNotFound, errorNoCapacity, errorStaleFence:
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// Reason returns a short description of err for log lines and messages if err is
// a network error that kept the platform's answer from arriving. For any other
// error it returns the error's own text.
func Reason(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "the connection was refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "the connection was closed"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "no answer within the timeout"
	}
	return err.Error()
}

// IsNotFound reports whether err says that the object store does not have the
// requested object.
func IsNotFound(err error) bool { return errorName(err) == errorNotFound }

// IsStaleFence reports whether err says that an order was rejected because its
// fencing token is stale.
func IsStaleFence(err error) bool { return errorName(err) == errorStaleFence }

// IsNoCapacity reports whether err says that the platform has no backend server
// of the ordered kind available.
func IsNoCapacity(err error) bool { return errorName(err) == errorNoCapacity }

// errorName returns the name of the error in the platform's response, or an empty
// string if err is of another kind.
func errorName(err error) string {
	var serviceErr *goa.ServiceError
	if errors.As(err, &serviceErr) {
		return serviceErr.Name
	}
	return ""
}
