// Package origin remembers which software version of the backend servers began each stream,
// so that a stream which a caller takes up again goes on at that version only.
//
// A daemon knows the streams that it has begun or taken up itself. While servers of a
// service with several versions are in service, or were lately, it reports its streams to
// the others, and looks up those of others in their reports. Otherwise the version that is
// in service is that of all streams, so that nothing is exchanged.
//
// A report also names the versions at which streams can begin that it does not have: those of
// servers that take requests, or that have some whose first event has not arrived. A stream
// that is in no report began at one of them. If they are several, its version is unknown. A
// daemon that starts again reports those from before as well, since it does not know the
// streams that began after its last report.
package origin
