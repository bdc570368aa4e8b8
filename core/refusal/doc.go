// Package refusal defines the error responses that callers get if a request is
// not served completely.
package refusal
