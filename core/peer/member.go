package peer

import "time"

// MethodHeartbeat takes a Heartbeat and returns a HeartbeatAnswer.
const MethodHeartbeat = "heartbeat"

// MemberState is the state of a daemon as another daemon sees it.
type MemberState string

const (
	// MemberLive is a daemon that is not suspected: one that answers heartbeats,
	// or a new one to which none was sent yet.
	MemberLive MemberState = "live"
	// MemberSuspected is a daemon that did not answer heartbeats and still has
	// time to refute the suspicion.
	MemberSuspected MemberState = "suspected"
	// MemberLeaving is a daemon that answers heartbeats and is about to stop.
	MemberLeaving MemberState = "leaving"
	// MemberDead is a daemon that has stopped or did not refute a suspicion.
	MemberDead MemberState = "dead"
)

// MemberID identifies a daemon. A VM may run one daemon of each role.
type MemberID struct {
	// VM is the name of the daemon's VM. It is not used again when the VM is
	// replaced.
	VM string `json:"vm"`
	// Role is the role of the daemon.
	Role Role `json:"role"`
}

// MemberRecord is what daemons tell each other about one daemon.
type MemberRecord struct {
	MemberID
	// FailureDomain is the failure domain of the daemon.
	FailureDomain string `json:"failure-domain"`
	// Address is the IP address and port of its peers' port.
	Address string `json:"address"`
	// Incarnation orders the records of the daemon: a record overrides those of
	// lower incarnations. Only the daemon itself raises it. It is 0 if the
	// daemon is known only from the platform's list.
	Incarnation uint64 `json:"incarnation"`
	// State is MemberLive, MemberSuspected or MemberDead.
	State MemberState `json:"state"`
	// Leaving says whether the daemon has announced that it is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// DomainSummary is what daemons tell each other about a failure domain.
type DomainSummary struct {
	// FailureDomain is the name of the failure domain.
	FailureDomain string `json:"failure-domain"`
	// Live is the number of its daemons that are not dead.
	Live int `json:"live"`
	// Revision is the newest revision that one of them has in force.
	Revision uint64 `json:"revision"`
	// Age is the time since one of its daemons made the summary, in nanoseconds.
	Age time.Duration `json:"age"`
	// Contact is one of its live daemons.
	Contact MemberRecord `json:"contact"`
}

// Gossip is the part that heartbeats and their answers have in common.
type Gossip struct {
	// From is the record of the sender.
	From MemberRecord `json:"from"`
	// Revision is the revision that the sender has in force.
	Revision uint64 `json:"revision"`
	// Updates are records of daemons of the sender's failure domain that have
	// changed. Their number is bounded.
	Updates []MemberRecord `json:"updates,omitempty"`
	// Summary describes the sender's failure domain if the receiver is in
	// another one, and otherwise one of the other failure domains. It may be
	// nil.
	Summary *DomainSummary `json:"summary,omitempty"`
}

// Heartbeat checks that a daemon is alive.
type Heartbeat struct {
	Gossip
	// Target is a daemon that the receiver has to send a heartbeat to before it
	// answers, or nil.
	Target *MemberRecord `json:"target,omitempty"`
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	Gossip
	// TargetReached says whether the target of the heartbeat answered.
	TargetReached bool `json:"reached,omitempty"`
}

// Member describes, in a Status, a daemon of the same failure domain.
type Member struct {
	// VM is the name of the daemon's VM.
	VM string `json:"vm"`
	// Role is the role of the daemon.
	Role Role `json:"role"`
	// Address is the IP address and port of its peers' port.
	Address string `json:"address"`
	// State is the state of the daemon.
	State MemberState `json:"state"`
	// Revision is the newest revision that it has reported to have in force.
	Revision uint64 `json:"revision"`
}

// Domain describes, in a Status, another failure domain.
type Domain struct {
	// FailureDomain is the name of the failure domain.
	FailureDomain string `json:"failure-domain"`
	// Live is the number of its daemons that are not dead, from the last summary.
	// If there is none, it is the number of daemons in the platform's list.
	Live int `json:"live"`
	// Revision is the newest revision that one of them has in force.
	Revision uint64 `json:"revision"`
	// HasSummary says whether a summary of the failure domain has been received.
	HasSummary bool `json:"heard"`
	// Age is the age of the summary, if HasSummary.
	Age time.Duration `json:"age"`
}
