// Package home assigns slots on backend servers through the home daemon of each
// model, so that each model has a single queue in the failure domain and
// requests start in the order of their tiers. A Client asks home daemons for
// slots; a Server answers the clients of the other entry daemons.
//
// The home daemon of a model is the member of the failure domain that
// rendezvous hashing chooses. The daemon that a caller is connected to checks
// the client account's limits, requests a slot from the home daemon, sends the
// request to the backend server itself, and releases the slot. A daemon that
// cannot reach the home daemon assigns slots itself until it can. Meanwhile,
// the engines order the requests of all daemons by priority, which is the tier,
// and load reports keep the daemons from overloading a backend server for long.
// The state of a home daemon is lost when it stops: slots that it granted appear
// to its successor as load from other daemons.
package home
