// Package handover decides whether a request that runs on a model engine is moved to
// another engine because its engine is draining. If a failure domain loses its cheap
// engines at a few seconds' notice while they generate long responses, a response that
// would not end in time continues on another engine from a copy of its KV cache,
// instead of being cut off.
//
// Copying the KV cache between engines while the request keeps running follows Sun et
// al., "Llumnix: Dynamic Scheduling for Large Language Model Serving" (OSDI 2024).
// Functions take the current time as an argument and do no I/O.
package handover
