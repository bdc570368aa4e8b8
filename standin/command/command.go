// Package command is the command line of the stand-ins.
//
// Each subcommand serves one stand-in until its context ends. The first line on
// standard output is "listening on" and the address.
package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
)

// flagListen is the flag of the address that a stand-in listens on.
const flagListen = "listen"

// anyPort is the address of a stand-in that is told none.
const anyPort = "127.0.0.1:0"

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Stand-ins of the platform, a model engine and a plain service",
		SilenceUsage: true,
	}
	root.AddCommand(newPlatform(), newEngine(), newPlain())
	return root
}

// server is a stand-in.
type server interface {
	Start(address string) error
	Address() string
	Close() error
}

// run serves a stand-in on address until the command's context ends.
func run(cmd *cobra.Command, s server, address string) error {
	if err := s.Start(address); err != nil {
		return errors.Join(err, s.Close())
	}
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "listening on %s\n", s.Address()); err != nil {
		return errors.Join(err, s.Close())
	}
	<-cmd.Context().Done()
	return s.Close()
}
