// Package measure compares the decisions of package dispatch with those of
// simpler routers. The package consists of tests: they run the functions that
// the daemons use on virtual time, with seeded arrivals, against a simple model
// of the engines.
//
// The results are in docs/MEASUREMENTS.md.
package measure
