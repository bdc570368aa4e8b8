// Package revision stores the revisions of the configuration in the platform and
// puts the newest one into force in a daemon. A Store reads and writes revisions.
// A revision is a row of the platform's table service that names an object of its
// object store. The row config/head holds the number of the newest revision. It is
// written in one transaction with the row of a new revision, so that only one of
// two operators who apply changes against the same revision succeeds.
//
// A Watcher holds the revision that a daemon has in force. Poll gets newer
// revisions from the platform and PollPeers from other daemons. The revision in
// force never goes back to an older one.
package revision
