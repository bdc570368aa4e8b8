// Package forwarding sends requests to backend servers through neighbours, and forwards those of
// neighbours. A Monitor finds out whether the own path works, an Asker sends one request through a
// neighbour, and a Lender answers askers.
//
// The asker keeps all decisions: which backend server, retries, limits, and what the answer means.
// The lender relays one HTTP request to the backend server that the asker names, and its answer.
package forwarding
