// Package directory holds the daemon's view of the catalog and of the backend servers,
// which it reads from the platform's store, and the load that the daemon has on each
// backend server. Each request reserves a slot on a backend server through it.
package directory
