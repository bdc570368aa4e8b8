// Package scheduler lets requests wait until a dispatcher starts them on a
// backend server. A Scheduler serializes access to its dispatcher, passes it
// the current time and wakes the requests that it starts. Each started request
// occupies a slot of its backend server, which the caller must release.
package scheduler
