// Package metrics holds the metrics of an entry daemon. Their names are
// documented in docs/METRICS.md.
package metrics
