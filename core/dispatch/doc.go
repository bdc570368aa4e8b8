// Package dispatch schedules the requests of one entry daemon: it decides which
// requests are admitted, which wait, which one runs next and on which replica,
// and which are retried or preempted.
//
// A Dispatcher is a state machine: its methods take the present time as an
// argument and perform no I/O. It is not safe for concurrent use; the daemon
// serializes access to it and carries out its decisions.
package dispatch
