// Package chat serves the common chat completions API and forwards its requests
// to model engines.
//
// Bodies pass through: only the fields that routing needs are parsed, and
// unknown fields are kept. Streamed answers are forwarded event by event; other
// answers are read completely before they are forwarded. In this package, a
// response is what an engine sends for one attempt, and an answer is what the
// caller receives, possibly from several attempts.
package chat
