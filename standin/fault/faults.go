package fault

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of calls that met a fault.
var (
	// ErrDown is returned for a call that was refused without effect.
	ErrDown = merry.Sentinel("fault: the interface is down")
	// ErrPartitioned is returned for a call whose request or reply was dropped by a
	// cut between the caller and the interface.
	ErrPartitioned = merry.Sentinel("fault: the caller is cut off")
	// ErrRequestLost is returned for a call that was lost before it took
	// effect.
	ErrRequestLost = merry.Sentinel("fault: the request was lost")
	// ErrReplyLost is returned for a call whose reply was lost after it took
	// effect.
	ErrReplyLost = merry.Sentinel("fault: the reply was lost")
	// ErrCrashed is returned for a call of an interface that has crashed.
	ErrCrashed = merry.Sentinel("fault: the interface has crashed")
	// ErrClosed is returned for a call that was held when the Injector closed.
	ErrClosed = merry.Sentinel("fault: the interface is closed")
)

// Faults are the faults that an interface has. The zero value has none.
type Faults struct {
	// Down refuses every call without effect.
	Down bool `json:"down,omitempty"`
	// Delay delays every call before it takes effect.
	Delay Duration `json:"slow,omitempty"`
	// Frozen holds every call until the interface is unfrozen. A call whose
	// caller has given up meanwhile still takes effect then.
	Frozen bool `json:"frozen,omitempty"`
	// LoseRequests is how many of the next writes are lost before they take
	// effect. LoseRequests ≥ 0.
	LoseRequests int `json:"lose-requests,omitempty"`
	// LoseReplies is how many of the next writes that take effect get no
	// reply. LoseReplies ≥ 0.
	LoseReplies int `json:"lose-replies,omitempty"`
	// Partitions are the callers that are cut off.
	Partitions []Partition `json:"cuts,omitempty"`
	// Crashed ends every connection without a reply and without effect.
	Crashed bool `json:"crashed,omitempty"`
}

// cut reports whether the caller is cut off in the direction.
func (f *Faults) cut(caller string, direction Direction) bool {
	return slices.ContainsFunc(f.Partitions, func(c Partition) bool {
		return c.Caller == caller && (c.Direction == Both || c.Direction == direction)
	})
}

// Direction is the direction in which a caller is cut off.
type Direction string

// The directions of a cut.
const (
	// Both drops requests, so that there are no replies. It is the zero value.
	Both Direction = ""
	// Requests drops requests before they take effect.
	Requests Direction = "requests"
	// Replies drops replies after the requests took effect.
	Replies Direction = "replies"
)

// Partition is a cut between one caller and the interface. Its calls hang until
// they time out or the cut is lifted, and then fail.
type Partition struct {
	// Caller is the name of the caller, see Caller.
	Caller string `json:"caller"`
	// Direction is what is dropped.
	Direction Direction `json:"direction,omitempty"`
}

// Duration is a duration that is written as text, as in 50ms.
type Duration time.Duration

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText sets the duration from text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return merry.Wrap(err)
	}
	*d = Duration(parsed)
	return nil
}
