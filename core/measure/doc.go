// Package measure compares the decisions of package dispatch with simpler
// routers, in its tests: the functions that the daemons use are driven on
// virtual time, with seeded arrivals, against a small model of the engines.
//
// The results are in docs/MEASUREMENTS.md.
package measure
