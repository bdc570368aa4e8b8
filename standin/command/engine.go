package command

import (
	"acaciapath.example/standin/engine"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// engineFlags are the flags that say how engines behave.
type engineFlags struct {
	options engine.Options
}

// add adds the flags, their names with the prefix before them.
func (f *engineFlags) add(flags *pflag.FlagSet, prefix string) {
	o := &f.options
	flags.IntVar(&o.Slots, prefix+"places", 0, "number of requests in the batch; 0 for the usual one")
	flags.IntVar(&o.QueueLimit, prefix+"queue-limit", 0, "number of requests that may wait; 0 for no limit")
	flags.BoolVar(&o.Preempts, prefix+"preempt", false, "preempt requests of lower priority")
	flags.DurationVar(&o.StepTime, prefix+"step-time", 0, "time of a step with one request; 0 for the usual one")
	flags.DurationVar(&o.StepTimePerRequest, prefix+"step-time-per-request", 0, "time added for each further request")
	flags.DurationVar(&o.PrefillTimePerToken, prefix+"prefill-time", 0, "time added for each uncached prompt token")
	flags.IntVar(&o.CacheTokens, prefix+"cache-tokens", 0, "size of the prefix cache; 0 for the usual one")
	flags.IntVar(&o.ContextTokens, prefix+"context-tokens", 0, "size of the context window; 0 for no limit")
	flags.IntVar(&o.MeanAnswerTokens, prefix+"mean-tokens", 0, "mean length of an answer; 0 for the usual one")
	flags.Uint64Var(&o.Seed, prefix+"seed", 0, "seed of the texts")
	flags.DurationVar(&o.LoadLag, prefix+"load-lag", 0, "how old the published load is")
	flags.DurationVar(&o.CacheEventLag, prefix+"cache-event-lag", 0, "how late cache events are published")
	flags.IntVar(&o.DropEveryNthCacheEvent, prefix+"cache-event-loss", 0, "lose every n-th cache event; 0 for none")
	flags.BoolVar(&o.ChecksFencing, prefix+"check-fencing", false, "refuse orders with old fencing numbers")
}

func newEngine() *cobra.Command {
	var f engineFlags
	var listen string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Serve a stand-in of a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, engine.New(f.options), listen)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, flagListen, anyPort, "IP number and port to listen on")
	flags.StringVar(&f.options.Name, "name", "", "name of the engine")
	flags.StringSliceVar(&f.options.Models, "model", nil, "models that are loaded from the start")
	f.add(flags, "")
	return cmd
}
