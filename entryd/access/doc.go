// Package access decides which client account a caller speaks for.
//
// A Snapshot is built from a configuration and replaced as a whole. Each key
// of it has a Grant, which outlives a revision as long as the key does, and
// ends when the key is withdrawn: the requests that hold it end then too.
package access
