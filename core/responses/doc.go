// Package responses decides which responses of HTTP servers are complete answers, where
// net/http does not: a response must have the status of an answer, and one that ends with its
// connection must not end before its request was sent.
package responses
