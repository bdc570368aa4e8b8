package command

import (
	"errors"

	"acaciapath.example/standin/fleet"
	"acaciapath.example/standin/platform"

	"github.com/spf13/cobra"
)

// platformFlags holds the flag values of the platform command.
type platformFlags struct {
	listen  string
	vmsFile string
	engines bool
	options platform.Options
	engine  engineFlags
}

func newPlatform() *cobra.Command {
	var f platformFlags
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve a simulated platform",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.listen, listenFlag, defaultListenAddress, "IP address and port to listen on")
	flags.StringVar(&f.vmsFile, "vms", "", "INI file with a section [vm NAME] for each entry VM")
	flags.DurationVar(&f.options.VMListLag, "vm-lag", 0, "delay of changes in the list of VMs")
	flags.DurationVar(&f.options.StartDelay, "start-delay", 0, "time from an order to the launch of the backend server")
	flags.BoolVar(&f.options.ChecksFencing, "check-fencing", false, "reject orders with stale fencing tokens")
	flags.IntVar(&f.options.WritesPerSecond, "writes-per-second", 0, "maximum writes per second to the table service and object store; 0 for no limit")
	flags.IntVar(&f.options.ReadsPerSecond, "reads-per-second", 0, "maximum reads per second from the table service and object store; 0 for no limit")
	flags.BoolVar(&f.engines, "engines", false, "run the ordered backend servers as engines in this process")
	f.engine.register(flags, "engine-")
	return cmd
}

func (f *platformFlags) run(cmd *cobra.Command) error {
	if f.vmsFile != "" {
		list, err := readVMs(f.vmsFile)
		if err != nil {
			return err
		}
		f.options.VMs = list
	}
	if !f.engines {
		return run(cmd, platform.New(f.options), f.listen)
	}
	engines := fleet.New(fleet.Options{EngineOptions: f.engine.options})
	f.options.Launcher = engines
	return errors.Join(run(cmd, platform.New(f.options), f.listen), engines.Close())
}
