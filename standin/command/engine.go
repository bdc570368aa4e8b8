package command

import (
	"acaciapath.example/standin/engine"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// engineFlags holds the options of engines that are set by flags.
type engineFlags struct {
	options engine.Options
}

// register adds the flags to flags. Their names begin with the prefix.
func (f *engineFlags) register(flags *pflag.FlagSet, prefix string) {
	o := &f.options
	flags.IntVar(&o.Slots, prefix+"places", 0, "maximum number of requests in the batch; 0 for the default")
	flags.IntVar(&o.QueueLimit, prefix+"queue-limit", 0, "maximum number of waiting requests; 0 for no limit")
	flags.BoolVar(&o.Preempts, prefix+"preempt", false, "preempt requests of lower priority")
	flags.DurationVar(&o.StepTime, prefix+"step-time", 0, "duration of a step with one request; 0 for the default")
	flags.DurationVar(&o.StepTimePerRequest, prefix+"step-time-per-request", 0, "time added to a step for each request after the first")
	flags.DurationVar(&o.PrefillTimePerToken, prefix+"prefill-time", 0, "time added to a step for each uncached prompt token")
	flags.IntVar(&o.CacheTokens, prefix+"cache-tokens", 0, "size of the prefix cache in tokens; 0 for the default")
	flags.IntVar(&o.ContextTokens, prefix+"context-tokens", 0, "size of the context window in tokens; 0 for no limit")
	flags.IntVar(&o.MeanAnswerTokens, prefix+"mean-tokens", 0, "mean length of an answer in tokens; 0 for the default")
	flags.Uint64Var(&o.Seed, prefix+"seed", 0, "seed of the generated texts")
	flags.DurationVar(&o.LoadLag, prefix+"load-lag", 0, "age of the published load")
	flags.DurationVar(&o.CacheEventLag, prefix+"cache-event-lag", 0, "delay of published cache events")
	flags.IntVar(&o.DropEveryNthCacheEvent, prefix+"cache-event-loss", 0, "lose every n-th cache event; 0 for none")
	flags.BoolVar(&o.ChecksFencing, prefix+"check-fencing", false, "reject orders with stale fencing tokens")
}

func newEngine() *cobra.Command {
	var f engineFlags
	var listen string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Serve a simulated model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, engine.New(f.options), listen)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, listenFlag, defaultListenAddress, "IP address and port to listen on")
	flags.StringVar(&f.options.Name, "name", "", "name of the engine")
	flags.StringSliceVar(&f.options.Models, "model", nil, "models that are loaded at startup")
	f.register(flags, "")
	return cmd
}
