// Package fleet runs simulated engines in the current process, either as the
// backend servers that are ordered from the simulated platform or on their own.
package fleet
