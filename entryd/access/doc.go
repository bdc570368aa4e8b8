// Package access determines the client account of a request from its API key.
//
// A Snapshot is built from a revision of the configuration and replaced as a
// whole. It contains a Grant for each valid key. A grant remains valid across
// revisions as long as its key does. When the key is withdrawn, the grant ends
// and the contexts of the requests that use it are cancelled.
package access
