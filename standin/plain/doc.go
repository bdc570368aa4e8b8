// Package plain simulates a plain HTTP service that has calls which must not be
// executed twice.
//
// Every POST executes a call and counts it by its Idempotency-Key, or by the hash
// of its body if it has none. Every GET only reads. Any path is accepted except
// the control paths, for example those of the shop (/shop/renewals,
// /shop/orders/ID) and of the skylights (/orders, /orders/ID). Tests can inject
// faults and read a log of the calls.
package plain
