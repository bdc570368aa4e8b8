// Package engine simulates a model engine. It implements the protocol of package
// acaciapath.example/core/engine: the chat API with streamed and non-streamed
// answers, load reports, cache events, cancellation and orders.
//
// An Engine uses continuous batching. In each step every request in the batch
// whose prompt has been processed gets one token, and a step takes longer the
// more requests and uncached prompt tokens it processes. Requests wait in
// priority order and may preempt requests of lower priority. The text of an
// answer depends only on the prompt and the seed, so an answer that is resumed
// on another engine with the same seed is identical to one that was not
// interrupted. Each word is one token. Tests can inject faults and read logs of
// the requests and orders.
package engine
