// Package control performs the control tasks: the tasks towards the platform that only
// one daemon at a time performs, the holder of a lease. They are the settlement of
// usage windows, which reports them to the platform, and the ordering of backend
// servers. Each daemon also stores its own part of every usage window, with or
// without the lease.
package control
