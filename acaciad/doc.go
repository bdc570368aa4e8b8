// Command acaciad is the daemon of an entry VM on the users' platform. It serves the
// requests of callers and takes part in the control tasks, such as reporting usage to
// the platform.
package main
