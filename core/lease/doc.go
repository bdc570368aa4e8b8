// Package lease decides which process is in charge, by lease rows with fencing
// numbers in the platform's table.
//
// A Lease is the state of one process towards one lease. Its decisions do no
// I/O and take the present Instant: Next says what to ask of the table, Read,
// Committed and Failed take in the answer. A Keeper runs a Lease against the
// table and lends out a Grant while the process is in charge.
//
// Rows of the table:
//
//	lease/<name>   who holds the lease, a Row; changed by every renewal
//	fence/<name>   a Fence; changed only when the lease changes hands
//
// A holder may send until its lease, counted from before its last renewal was
// sent, has only Margin left. A successor waits out the whole lease from when
// it first read the row's last change itself. Both count on their own
// monotonic clock, so that clocks need not agree, only run at about the same
// rate. Writes to the table that carry Grant.Condition are refused once the
// lease has changed hands, however late they arrive.
package lease
