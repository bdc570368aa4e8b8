package platform

import (
	"errors"
	"io"
	"net"
	"syscall"

	"acaciapath.example/core/gen/table"

	goa "goa.design/goa/v3/pkg"
)

// Names of the errors that the platform answers with.
const (
	nameUnavailable = "unavailable"
	nameNotFound    = "not-found"
	nameNoCapacity  = "no-capacity"
	nameStaleFence  = "stale-fence"
)

// AsConflict returns the conflict that made a transaction fail, or nil.
func AsConflict(err error) *table.Conflict {
	var conflict *table.Conflict
	if errors.As(err, &conflict) {
		return conflict
	}
	return nil
}

// HadNoEffect reports whether a failed write certainly changed nothing: the
// platform refused it, or no connection to the platform was made. A write that
// was sent and got no answer may have taken effect.
func HadNoEffect(err error) bool {
	if AsConflict(err) != nil {
		return true
	}
	switch answerName(err) {
	case nameUnavailable, nameNotFound, nameNoCapacity, nameStaleFence:
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Reason says in plain words why the platform did not answer; any other error
// it says as it is.
func Reason(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "the connection was refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "the connection was closed"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "no answer within the timeout"
	}
	return err.Error()
}

// IsNotFound reports whether the object store has no such object.
func IsNotFound(err error) bool { return answerName(err) == nameNotFound }

// IsStaleFence reports whether an order was refused for its fencing number.
func IsStaleFence(err error) bool { return answerName(err) == nameStaleFence }

// IsNoCapacity reports whether no backend server of the kind was to be had.
func IsNoCapacity(err error) bool { return answerName(err) == nameNoCapacity }

// answerName returns the name of the error that the platform answered with, or
// an empty string.
func answerName(err error) string {
	var answer *goa.ServiceError
	if errors.As(err, &answer) {
		return answer.Name
	}
	return ""
}
