// Package plain forwards calls to plain services according to the routes of the
// configuration. A call on a route that is not repeatable runs at most once.
package plain
