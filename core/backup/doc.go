// Package backup decides which requests that run on a model engine are also kept on a second
// engine, and when such a run goes on there.
//
// Load: many short streams that may run only once are spread over engines of which a quarter
// crash at the same moment, without notice. Their callers have read the beginning of an
// answer that nobody may generate again. A run whose KV cache another engine keeps goes on
// there instead.
//
// Functions do no I/O.
package backup
