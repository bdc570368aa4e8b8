package command

import (
	"errors"

	"acaciapath.example/standin/fleet"
	"acaciapath.example/standin/platform"

	"github.com/spf13/cobra"
)

// platformFlags are the flags of the platform.
type platformFlags struct {
	listen  string
	vms     string
	engines bool
	options platform.Options
	engine  engineFlags
}

func newPlatform() *cobra.Command {
	var f platformFlags
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve a stand-in of the platform",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.listen, flagListen, anyPort, "IP number and port to listen on")
	flags.StringVar(&f.vms, "vms", "", "INI file with the entry VMs, a section [vm NAME] each")
	flags.DurationVar(&f.options.VMListLag, "vm-lag", 0, "how far the list of VMs lags behind")
	flags.DurationVar(&f.options.StartDelay, "start-delay", 0, "how long an ordered backend server takes to start")
	flags.BoolVar(&f.options.ChecksFencing, "check-fencing", false, "refuse orders with old fencing numbers")
	flags.IntVar(&f.options.WritesPerSecond, "writes-per-second", 0, "limit of writes to table and objects; 0 for none")
	flags.IntVar(&f.options.ReadsPerSecond, "reads-per-second", 0, "limit of reads of table and objects; 0 for none")
	flags.BoolVar(&f.engines, "engines", false, "run the ordered backend servers as engines in this process")
	f.engine.add(flags, "engine-")
	return cmd
}

func (f *platformFlags) run(cmd *cobra.Command) error {
	if f.vms != "" {
		list, err := readVMs(f.vms)
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
