// Package peer carries JSON-RPC 2.0 between the project's own processes: entry
// daemons, control daemons and the operators' command line.
//
// A peers' port admits only members, by mutual TLS; without TLS it may only be
// bound to a loopback address.
package peer

import (
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"
)

// silent keeps the library from writing to standard error: a connection that
// ends is an everyday event, and calls on it return why.
var silent = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
