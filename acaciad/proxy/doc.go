// Package proxy serves callers' requests: it finds their route and client
// account, sends them to backend servers and passes the answers back.
//
// A request is sent again only if it certainly did not run, or if its route
// allows that. A refusal with status 503 says that the request did not run and
// never will; what may have run is answered with 502 or 504.
package proxy
