// Package fault injects faults into the interfaces of the simulated services of
// this module. An interface can be down, slow, frozen, crashed, or partitioned
// from some of its callers. It can also lose requests before they take effect
// and replies after that.
//
// An Injector decides for each call with BeforeCall and BeforeReply. Handler
// applies it to an http.Handler.
package fault
