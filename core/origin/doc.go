// Package origin knows at which software version of the backend servers each stream began, so
// that a stream which a caller takes up again goes on at that version only.
//
// Each daemon has a plan for each service: the shares of the versions, by which the id of a
// stream tells where it begins. It does not depend on the route, which a revision may change
// before a caller takes the stream up again. It reports a plan to the others before it uses it, together with the streams that
// began elsewhere: under an earlier plan, or because the version had no server. So the origin
// of any stream follows from the reports, also of one that began just before its daemon
// was killed, and reports are written only when plans change. While daemons have different
// plans, the origin of a stream is known if all of them lead to the same version.
package origin
