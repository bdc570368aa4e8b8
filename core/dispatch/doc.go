// Package dispatch decides, for one entry daemon, which request enters, which
// waits, which runs next and on which replica, and which is sent again.
//
// A Dispatcher is a state machine: its functions take the present time as an
// argument and perform no I/O. It is not safe for concurrent use; the daemon
// guards it and carries out what it decides.
package dispatch
