package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"greengagedock.example/standin"
)

// killedExitStatus is the exit status after the fault "killed": the shell's status for SIGKILL.
const killedExitStatus = 137

// serverFlags are the flags common to engines and plain services.
type serverFlags struct {
	listen       string
	id           string
	timeScale    float64
	coldRequests int
	coldTokens   int
	warmRequests int
	warmTokens   int
	warmAfter    int
	downtime     time.Duration
	reportLag    time.Duration
}

func (f *serverFlags) add(cmd *cobra.Command, id, listen string) {
	flags := cmd.Flags()
	flags.StringVar(&f.listen, "listen", listen, "address to listen on")
	flags.StringVar(&f.id, "id", id, "published ID")
	flags.Float64Var(&f.timeScale, "time-scale", 1, "speed, as a factor of that of a real one")
	flags.IntVar(&f.coldRequests, "cold-requests", 0, "concurrent requests above which it crashes when cold, 0 for no limit")
	flags.IntVar(&f.coldTokens, "cold-tokens", 0, "tokens of concurrent requests above which it crashes when cold, 0 for no limit")
	flags.IntVar(&f.warmRequests, "warm-requests", 0, "concurrent requests that it accepts when warm, 0 for no limit")
	flags.IntVar(&f.warmTokens, "warm-tokens", 0, "tokens of concurrent requests that it accepts when warm, 0 for no limit")
	flags.IntVar(&f.warmAfter, "warm-after", 8, "completed requests after which it is warm")
	flags.DurationVar(&f.downtime, "down-for", 5*time.Second, "how long it is down after a crash")
	flags.DurationVar(&f.reportLag, "lag", 250*time.Millisecond, "maximum age of load reports")
}

func (f *serverFlags) options() []standin.Option {
	return []standin.Option{
		standin.WithTimeScale(f.timeScale),
		standin.WithColdLimit(standin.NewLoad(f.coldRequests, f.coldTokens), f.warmAfter),
		standin.WithWarmLimit(standin.NewLoad(f.warmRequests, f.warmTokens)),
		standin.WithDowntime(f.downtime),
		standin.WithReportLag(f.reportLag),
		standin.WithKillHook(func() { os.Exit(killedExitStatus) }),
	}
}

func newEngineCommand() *cobra.Command {
	var f serverFlags
	var models []string
	var kvTokens, streams, prefillRate int
	var step time.Duration
	var fences, ignoreNotAfter bool
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a simulated model engine",
		Example: `  standin engine --listen 127.0.0.1:9007 --id engine-7 --model strip-1 --kv-tokens 400000
  curl -d '{"fault": "frozen"}' 127.0.0.1:9007/fault`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts := append(f.options(),
				standin.WithModels(models...),
				standin.WithKVTokens(kvTokens),
				standin.WithBatchSize(streams),
				standin.WithPrefillRate(prefillRate),
				standin.WithStepTime(step),
			)
			if fences {
				opts = append(opts, standin.WithFencing())
			}
			if ignoreNotAfter {
				opts = append(opts, standin.WithoutNotAfter())
			}
			return serve(cmd.Context(), "engine", f.id, f.listen, standin.NewEngine(f.id, opts...))
		},
	}
	f.add(cmd, "engine-1", "127.0.0.1:9007")
	flags := cmd.Flags()
	flags.StringSliceVar(&models, "model", []string{"strip-1"}, "models that it serves")
	flags.IntVar(&kvTokens, "kv-tokens", 400_000, "KV memory, in tokens")
	flags.IntVar(&streams, "streams", 32, "maximum number of streams in a batch")
	flags.IntVar(&prefillRate, "prefill-rate", 20_000, "prefill rate, in prompt tokens per second")
	flags.DurationVar(&step, "step", 30*time.Millisecond, "time to generate one token for each stream")
	flags.BoolVar(&fences, "fences", false, "refuse commands with an outdated fencing token")
	flags.BoolVar(&ignoreNotAfter, "ignore-not-after", false, "ignore the X-Not-After header")
	return cmd
}

func newServiceCommand() *cobra.Command {
	var f serverFlags
	var workTime time.Duration
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run a simulated plain service",
		Example: `  standin service --listen 127.0.0.1:9008 --id repairs-1`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts := append(f.options(), standin.WithWorkTime(workTime))
			return serve(cmd.Context(), "service", f.id, f.listen, standin.NewService(f.id, opts...))
		},
	}
	f.add(cmd, "service-1", "127.0.0.1:9008")
	cmd.Flags().DurationVar(&workTime, "work-time", 20*time.Millisecond, "duration of a call")
	return cmd
}
