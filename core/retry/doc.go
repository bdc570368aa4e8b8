// Package retry provides a budget that limits the number of retries, and the
// backoff before a retry.
package retry
