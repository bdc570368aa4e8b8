// Package revision keeps the revisions of the configuration in the platform
// and brings the newest one into force in a daemon.
//
// A revision is a row of the table service that names an object of the object
// store. The row config/head holds the number of the newest revision; it and
// the row of a new revision are written in one transaction, so that of two
// operators that apply against the same revision one wins.
//
// A Watcher holds the revision that a daemon has in force. It takes newer ones
// from the platform by Poll and from other daemons by Gossip, and never goes
// back to an older one.
package revision
