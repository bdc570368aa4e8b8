// Package backend is the client of backend servers, which are model engines and
// replicas of plain services. It maintains the list of backend servers and
// determines, when a call fails, whether the call may have been executed.
package backend
