// Package proxy is the reverse proxy of the daemon. It serves the requests of
// callers: it finds the route and the client account of a request, sends the
// request to backend servers and forwards the answer.
//
// A request is sent again only if it certainly did not run, or if its route
// allows it to run more than once. A refusal with status 503 states that the
// request did not run and never will. A request that may have run is answered
// with 502 or 504.
package proxy
