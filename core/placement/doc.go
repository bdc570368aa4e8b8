// Package placement chooses the backend server that runs a request, for an
// entry daemon that knows only its own requests. Long prompts delay the tokens
// of all requests that a model engine batches with them. A Pool therefore
// reserves servers for requests whose streams allow only short pauses, and others
// for urgent prompts, which would otherwise wait behind patient ones. Except for
// streams with short pauses, requests prefer the server that rendezvous hashing
// selects for the shared prefix of their prompt, so that all daemons agree,
// without communication, on where the prefix is cached.
//
// Functions that need the present time or a random source take it as an
// argument; none performs I/O. A Pool is not safe for concurrent use.
package placement
