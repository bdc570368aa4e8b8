// Package follow decides from whom an entry daemon learns the changes of a table in
// the platform's store.
//
// In a failure domain with many daemons, one of them reads a table and passes the
// changes on to the others, its followers. All daemons compute the same reader from
// the list of members, by rendezvous hashing, so that nothing has to be agreed. What a
// follower knows is a cache: it judges by its own clock how old that is, leaves a
// reader that is silent for too long, and then reads the store itself.
//
// Functions take the present time as an argument and do no I/O.
package follow
