// Command acaciad is the daemon of an entry VM on the users' platform. It serves the
// requests of callers and takes part in the duties towards the platform, such as
// reporting usage.
package main
