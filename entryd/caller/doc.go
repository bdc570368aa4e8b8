// Package caller terminates callers: it accepts their connections, gives each
// request an id and a span, bounds what it may send, and turns everything that
// is not an answer into a refusal.
package caller
