package peer

import "time"

// MethodHeartbeat takes a Heartbeat and returns a HeartbeatAnswer.
const MethodHeartbeat = "heartbeat"

// MemberState is the state of a daemon as another daemon sees it.
type MemberState string

// The states of a daemon.
const (
	// MemberLive is a daemon that answers, or has not yet failed to.
	MemberLive MemberState = "live"
	// MemberSuspected is a daemon that did not answer and has time to refute.
	MemberSuspected MemberState = "suspected"
	// MemberLeaving is a daemon that answers and is about to stop.
	MemberLeaving MemberState = "leaving"
	// MemberDead is a daemon that has stopped or did not refute a suspicion.
	MemberDead MemberState = "dead"
)

// MemberID tells daemons apart. A VM may run one daemon of each role.
type MemberID struct {
	// VM is the name of the daemon's VM, never used again after the VM is
	// replaced.
	VM string `json:"vm"`
	// Role is the role of the daemon.
	Role Role `json:"role"`
}

// MemberRecord is what daemons tell each other of a daemon.
type MemberRecord struct {
	MemberID
	// FailureDomain is the failure domain of the daemon.
	FailureDomain string `json:"failure-domain"`
	// Address is the IP number and port of its peers' port.
	Address string `json:"address"`
	// Incarnation orders what is said of the daemon; only the daemon itself
	// raises it. 0 stands for a daemon that has only been listed.
	Incarnation uint64 `json:"incarnation"`
	// State is MemberLive, MemberSuspected or MemberDead.
	State MemberState `json:"state"`
	// Leaving says whether the daemon has announced that it is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// DomainSummary is what daemons tell each other of a failure domain.
type DomainSummary struct {
	// FailureDomain is the name of the failure domain.
	FailureDomain string `json:"failure-domain"`
	// Live is the number of its live daemons.
	Live int `json:"live"`
	// Revision is the newest revision that one of them has in force.
	Revision uint64 `json:"revision"`
	// Age is the time since one of its daemons counted, in nanoseconds.
	Age time.Duration `json:"age"`
	// Contact is one of its live daemons.
	Contact MemberRecord `json:"contact"`
}

// Gossip is what every heartbeat and every answer carries.
type Gossip struct {
	// From is the sender.
	From MemberRecord `json:"from"`
	// Revision is the revision that the sender has in force.
	Revision uint64 `json:"revision"`
	// Updates are changes of daemons of the sender's failure domain, a bounded
	// number.
	Updates []MemberRecord `json:"updates,omitempty"`
	// Summary is of the sender's own failure domain if the receiver is in
	// another one, and else of some other failure domain.
	Summary *DomainSummary `json:"summary,omitempty"`
}

// Heartbeat asks a daemon whether it lives.
type Heartbeat struct {
	Gossip
	// Target is a daemon that the receiver is asked to send a heartbeat to, or
	// nil.
	Target *MemberRecord `json:"target,omitempty"`
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	Gossip
	// TargetReached says whether the target answered the receiver.
	TargetReached bool `json:"reached,omitempty"`
}

// Member is a daemon of the same failure domain in a Status.
type Member struct {
	// VM is the name of the daemon's VM.
	VM string `json:"vm"`
	// Role is the role of the daemon.
	Role Role `json:"role"`
	// Address is the IP number and port of its peers' port.
	Address string `json:"address"`
	// State is the state of the daemon.
	State MemberState `json:"state"`
	// Revision is the newest revision that it is known to have in force.
	Revision uint64 `json:"revision"`
}

// Domain is another failure domain in a Status.
type Domain struct {
	// FailureDomain is the name of the failure domain.
	FailureDomain string `json:"failure-domain"`
	// Live is the number of its live daemons, as last heard or listed.
	Live int `json:"live"`
	// Revision is the newest revision that one of them has in force.
	Revision uint64 `json:"revision"`
	// HasSummary says whether a daemon of the failure domain was heard of.
	HasSummary bool `json:"heard"`
	// Age is the time since one of its daemons counted, if Heard.
	Age time.Duration `json:"age"`
}
