// Package placement chooses the backend server that runs a request, for one
// entry daemon that knows its own requests and not those of the others.
//
// Long prompts delay the tokens of all requests that a model engine batches with
// them. A Pool therefore keeps requests whose stream allows only short pauses
// apart from the others, on servers of their own. Requests of the other kind go
// to the server that rendezvous hashing names for the beginning of their prompt,
// so that all daemons agree, without a message, where it is cached.
//
// The functions take the present time and the random source as arguments and
// perform no I/O. A Pool is not safe for concurrent use.
package placement
