// Package neighbours lets a daemon that is cut off from the platform's store, or
// turned away by it, reach it through another daemon. Package detour decides by
// which way a call goes.
//
// Daemons find each other by rows in the store, which each writes of itself. Only
// calls that may arrive by any way take a detour: feeds, reads, and writes that a
// row can take once. The lease of the duties does not, since its holder must reach
// the platform itself.
package neighbours
