package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/cli/soak"
)

func soakCommand() *cobra.Command {
	var o soak.Options
	var seconds int
	var report, page string
	var regressions bool
	var knownRed []uint
	c := &cobra.Command{
		Use: "soak", Short: "Runs instances as processes under random faults and checks what callers and endpoints see",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.FaultDuration, o.Out = time.Duration(seconds)*time.Second, cmd.OutOrStdout()
			if regressions {
				return runRegressions(cmd, o, knownRed)
			}
			r, err := soak.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			printResult(o.Out, &r)
			if err := writeReport(report, r.WriteJSON); err != nil {
				return err
			}
			if err := writeReport(page, r.WritePage); err != nil {
				return err
			}
			return findingsError(&r)
		},
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of faults and load")
	f.IntVar(&seconds, "seconds", 20, "how long faults are injected")
	f.IntVar(&o.Instances, "fronts", 5, "instances")
	f.IntVar(&o.Engines, "engines", 9, "model engines")
	f.IntVar(&o.PlainEndpoints, "plain", 4, "plain endpoints")
	f.IntVar(&o.Callers, "callers", 20, "callers")
	f.StringVar(&o.Program, "program", "bin/agatewayd", "the daemon")
	f.StringVar(&o.OtherProgram, "other-program", "", "another build of the daemon, which every other instance runs")
	f.StringSliceVar(&o.DisabledMechanisms, "without", nil, "mechanisms of the daemon to switch off, by their names in its settings")
	f.StringSliceVar(&o.OverloadParts, "overload-parts", soak.OverloadParts(), "parts for load beyond capacity that are on and checked, with seeds from 9000")
	f.StringSliceVar(&o.FaultNames, "only", nil, "faults to draw, by name, in place of those of the seed")
	f.DurationVar(&o.ShutdownGrace, "grace", soak.DefaultShutdownGrace, "time that an instance has to end after SIGTERM")
	f.DurationVar(&o.WorkTime, "work", soak.DefaultWorkTime, "how long plain requests take")
	f.BoolVar(&regressions, "regressions", false, "play the soaks that once found a fault, in place of one seed")
	f.UintSliceVar(&knownRed, "known-red", nil, "seeds of regressions whose findings are printed and are no failure")
	f.StringVar(&report, "report", "", "file for the figures, as JSON")
	f.StringVar(&page, "page", "", "file for a page with a plot")
	return c
}

// runRegressions runs all soaks that once found a fault, and returns the errors of those that fail.
// The findings of the seeds in knownRed are printed only.
func runRegressions(cmd *cobra.Command, base soak.Options, knownRed []uint) error {
	var failed []error
	for _, regression := range soak.Regressions() {
		_, _ = fmt.Fprintf(base.Out, "seed %d, %v: %s\n", regression.Seed, regression.FaultDuration, regression.Cause)
		r, err := regression.Run(cmd.Context(), base)
		if err == nil {
			printResult(base.Out, &r)
			err = findingsError(&r)
		}
		if err != nil && slices.Contains(knownRed, uint(regression.Seed)) {
			_, _ = fmt.Fprintf(base.Out, "known to fail: seed %d: %v\n", regression.Seed, err)
			continue
		}
		if err != nil {
			failed = append(failed, fmt.Errorf("seed %d (%s): %w", regression.Seed, regression.Cause, err))
		}
	}
	return errors.Join(failed...)
}

func printResult(out io.Writer, r *soak.Report) {
	_, _ = fmt.Fprintf(out, "seed=%d faults=%d asked=%d served=%d refused=%d unknown=%d streams=%d findings=%d\n",
		r.Seed, r.Faults, r.Asked, r.Served, r.Refused, r.Unknown, r.Streams, len(r.Findings))
}

// findingsError returns an error if a soak has findings, otherwise nil.
func findingsError(r *soak.Report) error {
	if len(r.Findings) == 0 {
		return nil
	}
	return fmt.Errorf("%d promises were broken; logs in %s", len(r.Findings), r.Logs)
}

// writeReport writes a report to a file. It does nothing if the name is empty.
func writeReport(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close() // the error of the write is returned
		return err
	}
	return f.Close()
}
