// Package scheduler lets requests wait until the dispatcher starts them on a
// backend server. It guards the dispatcher, gives it the present time and
// wakes the requests that it starts.
package scheduler
