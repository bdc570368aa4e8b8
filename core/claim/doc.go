// Package claim decides how to handle a call with an idempotency key, which must
// run at most once.
//
// Before such a call is sent to a plain service, a claim on its idempotency key
// is inserted into the platform's table, on condition that no claim exists. A
// process that finds the claim of another call does not send its own call: it
// replays the stored outcome, or rejects the call because the other one is still
// in progress or its outcome is unknown.
package claim
