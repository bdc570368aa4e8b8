// Package reader is the protocol between a daemon that reads tables of the platform's
// store and its followers, the daemons of its failure domain that learn the changes
// from it. Package core/follow decides who reads.
//
// A follower sends GET /news?table=T&after=V. The reader answers with a stream of
// JSON documents, one a line: at first the news after version V, and then one document
// for each answer of the store, also if nothing has changed. A reader that does not
// read the table, or whose own version is older than V, refuses with status 503. The
// stream ends when the daemon stops reading the table. While the store does not answer
// the reader, it says so once and is silent then.
package reader
