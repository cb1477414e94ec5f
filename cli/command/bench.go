package command

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/cli/bench"
)

// errBadAnswers is returned when a run lost an answer or received a wrong one.
var errBadAnswers = errors.New("an answer was lost or wrong")

// benchCommand returns the command that runs a load test. It fails if an answer was lost or wrong.
func benchCommand(o *options) *cobra.Command {
	cfg := bench.Config{Log: io.Discard}
	c := &cobra.Command{
		Use: "bench", Short: "Measures resume latency and extra work under faults, before the stand-ins",
		Long: "Runs instances, engines and callers in this process, at the brief's sizes, and checks every answer.\nPolicies restart and no-probe are baselines.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !slices.Contains(bench.Faults, cfg.Fault) {
				return usageError{fmt.Errorf("--fault: %q is none of %s", cfg.Fault, strings.Join(bench.Faults, ", "))}
			}
			if _, ok := bench.Profiles[cfg.Profile]; !ok {
				return usageError{fmt.Errorf("--profile: %q is neither dala nor kurosawa", cfg.Profile)}
			}
			r, err := bench.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			if err := o.print(cmd.OutOrStdout(), r, func() error { return r.Write(cmd.OutOrStdout()) }); err != nil {
				return err
			}
			if r.HasBadAnswers() {
				return errBadAnswers
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&cfg.Profile, "profile", "dala", "dala or kurosawa")
	f.StringVar(&cfg.Policy, "policy", "latency", "latency, frugal, restart or no-probe")
	f.StringVar(&cfg.Fault, "fault", "none", strings.Join(bench.Faults, ", "))
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of arrivals and of what is struck")
	f.Float64Var(&cfg.FaultShare, "share", 0.1, "part of the engines or instances that is struck")
	f.Float64Var(&cfg.Load, "load", 0, "share of the slots kept busy (default: the profile's)")
	f.DurationVar(&cfg.Duration, "duration", 0, "how long requests are sent (default: the profile's)")
	f.BoolVar(&cfg.NoRetry, "no-retry", false, "callers take a refusal as it is, without asking again")
	f.BoolVar(&cfg.RetryByKey, "by-key", false, "callers keep nothing and ask again by idempotency key")
	return c
}
