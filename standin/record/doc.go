// Package record keeps logs of the calls that simulated services received. Tests
// read the logs to check what the system under test did.
package record
