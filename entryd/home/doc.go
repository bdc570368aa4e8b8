// Package home asks the home daemon of a model for places on backend servers,
// and gives places to the other entry daemons of the failure domain as one.
//
// The home daemon of a model holds its queue for the whole failure domain, so
// that the order of tiers is one. It is the member that rendezvous hashing
// chooses. The daemon that a caller is connected to holds the request to its
// client account's limits, asks the home daemon for a place, speaks to the
// backend server itself, and gives the place back.
//
// A daemon that does not reach the home daemon gives out places itself until it
// does; the engines' own priorities then keep the order of tiers between
// daemons, and load reports keep them from overfilling a replica for long. What
// a home daemon knows is lost with it: places that were granted by one that is
// gone appear to its successor as load of others.
package home
