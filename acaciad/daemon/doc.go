// Package daemon assembles the daemon of an entry VM on the users' platform. The daemon
// serves callers and, while it holds their lease, performs the control tasks of package
// control.
//
// Feeds follow the tables of the platform's store and update the directory of backend
// servers. The daemon keeps serving from the directory while the store is unavailable.
package daemon
