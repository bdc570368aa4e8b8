// Package fault injects faults into the interfaces of the stand-ins: an
// interface can be down, slow or frozen, cut from some of its callers, crash,
// or lose requests before, and replies after, they took effect.
//
// The Injector decides on one call at a time with Enter and Leave. Handler
// applies it to an http.Handler.
package fault
