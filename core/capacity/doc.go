// Package capacity measures, in its tests, how the state and the messages of a
// daemon grow with the size of a deployment.
//
// The results are quoted in docs/CAPACITY.md.
package capacity
