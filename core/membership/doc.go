// Package membership decides which daemons live. A daemon knows the daemons of
// its own failure domain in full and other failure domains by a summary and a
// bounded number of contacts.
//
// There are two sources: the platform's list of VMs, which lags behind and may
// be out for long, and heartbeats between daemons in the manner of SWIM (Das,
// Gupta, Motivala: SWIM: scalable weakly-consistent infection-style process
// group membership protocol, DSN 2002). Every period a daemon probes one member
// in a random order that reaches all before it repeats, asks others to probe a
// member that did not answer, suspects the member if they do not reach it
// either, and declares it dead if it does not refute the suspicion with a
// raised incarnation. Every message carries a bounded number of updates.
//
// A Table is a state machine without I/O. The present time is an argument of
// its functions and the random source one of its constructor. Time that passes
// while the daemon is paused, or by a jump of its clock, counts at most two
// periods, so that a daemon that wakes does not hold the others for dead.
package membership
