// Package plain is a stand-in of a plain HTTP service, some of whose calls may
// not be repeated.
//
// Every POST executes a call and counts it by its Idempotency-Key, or by its
// body if it has none; every GET reads and changes nothing. Paths are those of
// the shop (/shop/renewals, /shop/orders/ID) and of the skylights
// (/orders, /orders/ID) or any other below them. Faults can be set, and each
// call that was executed is kept in a log.
package plain
