// Package epoch tells apart the states of a store that is sometimes restored from a
// backup.
//
// A store numbers its versions. When it is restored, the versions after the backup are
// lost, and their numbers are used again. The store counts its restorations; that count is
// the epoch.
package epoch
