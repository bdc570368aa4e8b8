// Package engine defines the HTTP interface of model engines: the
// OpenAI-compatible chat API and the engines' own endpoints for their load,
// prefix-cache events, cancellation and orders.
package engine
