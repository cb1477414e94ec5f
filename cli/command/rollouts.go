package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/gateway/front"
	"github.com/agateway/agateway/gateway/rollouts"
)

func rolloutsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "rollouts ADDRESS", Short: "Shows the services that move to another build, and what is known of it (ADDRESS is that of an instance's metrics)",
		Args: cobra.ExactArgs(1), SilenceUsage: true,
		RunE: printStateTable(func(w io.Writer, s *front.State) { printRollouts(w, s.Rollouts) }),
	}
}

// printRollouts writes the table of rollouts to w, which aligns the columns.
func printRollouts(w io.Writer, all []rollouts.State) {
	_, _ = fmt.Fprintln(w, "SERVICE\tTARGET\tSTATE\tDECISION\tAGE\tOF\tBASELINE\tEXPOSED\tANSWERED\tFAILED\tEVIDENCE\tLEFT\tWHY")
	for i := range all {
		s := &all[i]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%d\t%d\t%d\t%d\t%.1f of %.1f\t%d\t%s\n",
			s.Service, s.Target, s.State, s.Decision, roundToSeconds(s.AgeMS), roundToSeconds(s.DurationMS), s.Baseline, s.Exposed, s.Answered, s.Failed,
			s.Evidence, s.Needed, s.Undrained, s.Why)
	}
}
