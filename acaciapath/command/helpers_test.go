package command_test

import (
	"net"

	"acaciapath.example/core/config"

	qt "github.com/frankban/quicktest"
)

// parseNothing takes any files.
func parseNothing([]config.File) (*config.Config, error) { return &config.Config{}, nil }

// closedPort returns a port that nothing listens on.
func closedPort(c *qt.C) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}
