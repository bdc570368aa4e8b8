// Package peer provides JSON-RPC 2.0 between the project's own processes: entry
// daemons, control daemons and the operators' command line. Each daemon serves
// the others on its peers' port. The port accepts only members, which mutual TLS
// authenticates; without TLS it can only be bound to a loopback address.
package peer

import (
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"
)

// discardLog discards the log of the library, which goes to standard error by
// default. Connections end in normal operation, and the calls on them return the
// error.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
