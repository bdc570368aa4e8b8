// Package keepalive opens TCP connections that end within a bounded time once the peer falls
// silent, whether they are idle or have data that is not acknowledged.
package keepalive
