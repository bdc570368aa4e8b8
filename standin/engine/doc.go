// Package engine is a stand-in of a model engine. It speaks the protocol of
// package acaciapath.example/core/engine: the chat API, streamed and whole,
// and beside it load, cache events, cancellation and orders.
//
// An Engine batches continuously: in every step each request in the batch gets
// one token, and a step takes longer the more requests and uncached prompt
// tokens it works on. Requests wait in the order of their priorities and may
// preempt less urgent ones. The text of an answer is a function of the prompt
// alone, so that an answer that is resumed on any engine with the same seed
// equals an unbroken one. A word is a token.
//
// Faults can be set, and what the engine did is kept in logs.
package engine
