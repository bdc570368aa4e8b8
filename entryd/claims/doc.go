// Package claims keeps the claims of calls that may run at most once in the
// platform's table.
package claims
