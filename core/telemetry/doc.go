// Package telemetry sets up what all daemons share: logging, tracing and the
// operations port, which serves metrics, health and readiness.
package telemetry
