// Package workload describes the work of a request for a model engine, as far
// as the caller states it in addition to the body.
package workload
