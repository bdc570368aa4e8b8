// Package chat serves the well-known chat API to callers and passes its
// requests on to model engines.
//
// Bodies pass through: only what routing needs is looked at, and unknown
// fields are kept. Streamed answers are passed on event by event, whole
// answers whole.
package chat
