// Package keepalive opens TCP connections that end within a bounded time once the peer falls
// silent, whether they are idle or have data that is not acknowledged, and on which nothing is sent
// any more once they are closed.
package keepalive
