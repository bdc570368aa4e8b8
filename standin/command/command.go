package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
)

// listenFlag is the name of the flag with the listen address.
const listenFlag = "listen"

// defaultListenAddress is the default of listenFlag: any free port on the loopback
// interface.
const defaultListenAddress = "127.0.0.1:0"

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Simulated platform, model engine and plain service",
		SilenceUsage: true,
	}
	root.AddCommand(newPlatform(), newEngine(), newPlain())
	return root
}

// server is a simulated service.
type server interface {
	Start(address string) error
	Address() string
	Close() error
}

// run serves s on address until the context of the command ends.
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
