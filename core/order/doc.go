// Package order scales the backend servers of a failure domain to the current
// demand.
//
// Allocate and PoolTarget.Next compute the number of backend servers that each
// pool needs, without I/O. A Reconciler compares this with the backend servers
// that the platform lists and orders or releases the difference. It acts only
// while the process holds the order lease of the failure domain.
//
// Every order is recorded as an Intent before it is sent, by a write that is
// rejected once the lease has changed hands. The order-id is derived from the
// intent. If a reply is lost, or a previous lease holder left an intent open,
// the same order is sent again; the platform does not order another backend
// server for an order-id that it has already seen. A backend server to be removed
// is first recorded as a Drain, so that entry daemons send it no new work, and is
// released once it is idle.
//
// Rows of the table:
//
//	order/intent/<failure domain>/<number>         an Intent
//	order/drain/<failure domain>/<backend server>  a Drain
//	order/base                                     the Baseline, inserted once
package order
