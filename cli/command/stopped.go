package command

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/front"
)

func stoppedCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "stopped", Short: "Requests that end the endpoints that run them (ADDRESS is that of an instance's metrics)",
	}
	c.AddCommand(&cobra.Command{
		Use: "list ADDRESS", Short: "Shows which requests are stopped, and under which endpoints ended", Args: cobra.ExactArgs(1), SilenceUsage: true,
		RunE: printStateTable(func(w io.Writer, s *front.State) { printStopped(w, s.Stopped) }),
	}, &cobra.Command{
		Use: "release CONTENT ADDRESS", Short: "Lets a stopped request go again, at all instances", Args: cobra.ExactArgs(2), SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			path := strings.Replace(front.ReleasePath, "{content}", args[0], 1)
			_, err := callInstance(cmd.Context(), http.MethodPost, args[1], path)
			return err
		},
	})
	return c
}

// printStopped writes the table of stopped requests to w, which aligns the columns.
func printStopped(w io.Writer, stopped []crashes.State) {
	_, _ = fmt.Fprintln(w, "CONTENT\tTEAM\tPART\tVERDICT\tFOR\tTIMES\tKEPT\tENDPOINTS")
	for _, s := range stopped {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%v\t%s\n",
			s.Content, s.Team, s.Part, s.Verdict, roundToSeconds(s.ForMS), s.Times, s.Stored, strings.Join(s.Endpoints, " "))
	}
}
