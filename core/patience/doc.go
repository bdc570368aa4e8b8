// Package patience decides how long a request waits for the first event of a model engine
// before it is sent to another one.
//
// Load: some engines hang or have a long queue while others are idle, and no daemon sees enough
// of their requests to know which. A caller disconnects after some seconds without an event.
// Functions take durations and do no I/O.
package patience
