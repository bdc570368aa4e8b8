// Package origins exchanges at which software versions of the backend servers streams begin, so
// that each daemon finds out which version began a stream that a caller takes up again. Package
// origin decides.
//
// Each daemon has a row in the platform's store with its latest report. It is written when the
// plans change or a stream begins elsewhere than they tell, and read when a caller takes up a
// stream whose version does not follow from what the daemon knows.
package origins
