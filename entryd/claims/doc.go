// Package claims stores, in the platform's table, the claims of calls that may
// run at most once.
package claims
