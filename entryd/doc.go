// Command entryd is the entry daemon. It serves callers: it checks their API
// keys, queues their requests and routes them to backend servers, streams the
// answers back and records the usage that is charged.
package main
