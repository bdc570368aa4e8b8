// Package order keeps the backend servers of a failure domain in line with the
// work there is.
//
// Allocate and Scale.Next decide how many backend servers each pool is to have,
// without I/O. A Reconciler compares that with the platform's list and orders
// or releases the difference, in the name of the lease of the failure domain.
//
// Every order is recorded as an Intent before it is sent, by a write that is
// refused once the lease has changed hands, and its order-id is that of the
// intent. A lost reply is settled by sending the same order again, and so is
// what a predecessor left open: the platform orders nothing for an order-id
// that it has seen. A backend server that is to go is first recorded as a
// Drain, which entry daemons heed, and released once it has no work left.
//
// Rows of the table:
//
//	order/intent/<failure domain>/<number>       an Intent
//	order/drain/<failure domain>/<backend server>  a Drain
package order
