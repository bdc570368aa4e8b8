// Package plain passes callers' calls on to plain services by the routes of the
// configuration. A call of a route that is not repeatable runs at most once.
package plain
