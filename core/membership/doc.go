// Package membership decides which daemons are alive. A daemon keeps a record of
// every daemon of its own failure domain; of each other failure domain it keeps a
// summary and a bounded number of contacts. It has two sources. The platform's
// list of VMs lags behind and may be unavailable for a long time. Heartbeats
// between daemons follow SWIM (Das, Gupta, Motivala: SWIM: scalable
// weakly-consistent infection-style process group membership protocol, DSN 2002):
// in every period a daemon probes one member, in a random order in which each
// member is probed once before any is probed again. If a member does not answer,
// the daemon asks other members to probe it. If they cannot reach it either, the
// daemon suspects the member, and declares it dead unless the member refutes the
// suspicion with a higher incarnation. Every message carries a bounded number of
// updates.
//
// A Table is a state machine without I/O. Its methods take the current time as an
// argument, and its constructor takes the random source. If the process was
// paused or its clock jumped forward, the time that passed counts as at most two
// periods, so that a daemon that resumes does not declare the others dead.
package membership
