// Package claim decides what becomes of a call that may run at most once.
//
// Before such a call is sent to a plain service, a claim on its idempotency
// key is inserted into the platform's table under the condition that there is
// none. Whoever finds a claim of another sends nothing: it answers with the
// stored outcome, or says that the call is in progress or its outcome unknown.
package claim
