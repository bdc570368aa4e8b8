// Package lease elects one process to act as the holder of a lease, by means of
// lease rows and fencing tokens in the platform's table.
//
// A Lease is the state machine of one process for one lease. It does no I/O and
// takes the current Instant as an argument: Next returns the next request to the
// table, and HandleRead, HandleCommit and HandleFailure process its result. A
// Keeper runs a Lease against the table and provides a Grant while the process
// holds the lease.
//
// Rows of the table:
//
//	lease/<name>   a Row with the current holder; changed by every renewal
//	fence/<name>   a Fence; changed only when the lease is acquired
//
// A holder may send until only Margin of its lease is left, counted from the time
// just before it sent its last renewal. A candidate waits for the whole duration
// of the lease, counted from the time at which it first read the last change of
// the row itself. Both use their own monotonic clocks, so the clocks need not
// agree; they only have to run at about the same rate. Writes to the table with
// Grant.Condition are rejected once the lease has changed hands, however late they
// arrive.
package lease
