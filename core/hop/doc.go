// Package hop removes the hop-by-hop headers of HTTP messages, which apply to a
// single connection only (RFC 9110, section 7.6.1).
package hop
