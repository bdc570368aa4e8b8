// Package origins tells the daemons which software version of the backend servers began each
// stream that a caller may take up again. Package origin decides.
//
// Each daemon has a row in the platform's store with its latest report. It is written only
// while several versions are in service, or when that changes, and read only when a caller
// takes up a stream whose version the daemon does not know.
package origins
