package command_test

import (
	"acaciapath.example/core/config"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// acceptAnyFiles returns an empty configuration for any files.
func acceptAnyFiles([]config.File) (*config.Config, error) { return &config.Config{}, nil }

// closedPort returns a port that nothing listens on.
func closedPort(c *qt.C) int {
	port, err := loopback.FreePort()
	c.Assert(err, qt.IsNil)
	return port
}
