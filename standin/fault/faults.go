package fault

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of calls that are affected by a fault.
var (
	// ErrDown is returned for a call that was rejected without effect.
	ErrDown = merry.Sentinel("fault: the interface is down")
	// ErrPartitioned is returned for a call whose request or reply was dropped
	// because the caller is partitioned from the interface.
	ErrPartitioned = merry.Sentinel("fault: the caller is partitioned from the interface")
	// ErrRequestLost is returned for a call that was lost before it took
	// effect.
	ErrRequestLost = merry.Sentinel("fault: the request was lost")
	// ErrReplyLost is returned for a call whose reply was lost after it took
	// effect.
	ErrReplyLost = merry.Sentinel("fault: the reply was lost")
	// ErrCrashed is returned for a call to an interface that has crashed.
	ErrCrashed = merry.Sentinel("fault: the interface has crashed")
	// ErrClosed is returned for a call that an Injector blocks when it is closed,
	// or receives after that. Calls that a partition blocks get ErrPartitioned.
	ErrClosed = merry.Sentinel("fault: the interface is closed")
)

// Faults are the faults of an interface. The zero value has none.
type Faults struct {
	// Down makes the interface reject every call without effect.
	Down bool `json:"down,omitempty"`
	// Delay is the time that every call waits before it takes effect.
	Delay Duration `json:"slow,omitempty"`
	// Frozen blocks every call until the interface is unfrozen. The call then
	// takes effect even if its caller has timed out.
	Frozen bool `json:"frozen,omitempty"`
	// LoseRequests is the number of following writes that are lost before they
	// take effect. LoseRequests ≥ 0.
	LoseRequests int `json:"lose-requests,omitempty"`
	// LoseReplies is the number of following writes that take effect but get no
	// reply. LoseReplies ≥ 0.
	LoseReplies int `json:"lose-replies,omitempty"`
	// Partitions are the network partitions between callers and the interface.
	Partitions []Partition `json:"cuts,omitempty"`
	// Crashed closes the connection of every call without a reply and without
	// effect.
	Crashed bool `json:"crashed,omitempty"`
}

// drops reports whether messages of the caller in the direction are dropped.
func (f *Faults) drops(caller string, direction Direction) bool {
	return slices.ContainsFunc(f.Partitions, func(p Partition) bool {
		return p.Caller == caller && (p.Direction == Both || p.Direction == direction)
	})
}

// Direction is the direction in which a Partition drops messages.
type Direction string

// Directions of a Partition.
const (
	// Both drops requests, so that there are no replies either. It is the zero
	// value.
	Both Direction = ""
	// Requests drops requests before they take effect.
	Requests Direction = "requests"
	// Replies drops replies after the requests took effect.
	Replies Direction = "replies"
)

// Partition is a network partition between one caller and the interface. Calls
// hang until they time out or the partition is removed, and then fail.
type Partition struct {
	// Caller is the name of the caller as returned by RequestCaller.
	Caller string `json:"caller"`
	// Direction is the direction in which messages are dropped.
	Direction Direction `json:"direction,omitempty"`
}

// Duration is a duration that is encoded as text, such as 50ms.
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
