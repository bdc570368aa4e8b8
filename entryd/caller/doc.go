// Package caller is the HTTP server for callers. It accepts connections,
// assigns each request an id and a span, limits the size and duration of
// requests, and converts every failure to a refusal.
package caller
