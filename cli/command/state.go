package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/gateway/front"
	"github.com/agateway/agateway/gateway/sharedqueue"
)

// instanceCallTimeout bounds a call to an instance, with the reading of the answer.
const instanceCallTimeout = 3 * time.Second

func stateCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "state ADDRESS", Short: "Shows what an instance that forwards believes now (ADDRESS is that of its metrics)",
		Args: cobra.ExactArgs(1), SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := fetchState(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
			}
			return printState(cmd.OutOrStdout(), s)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}

// printStateTable returns the function of a command that prints a table. It fetches the state of the
// instance at the address in the first argument and passes it to table.
func printStateTable(table func(w io.Writer, s *front.State)) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		s, err := fetchState(cmd.Context(), args[0])
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		table(w, s)
		return w.Flush()
	}
}

// roundToSeconds converts milliseconds to a duration rounded to whole seconds.
func roundToSeconds(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}

// fetchState returns the state of the instance whose metrics are served at address.
func fetchState(ctx context.Context, address string) (*front.State, error) {
	body, err := callInstance(ctx, http.MethodGet, address, front.StatePath)
	if err != nil {
		return nil, err
	}
	s := &front.State{}
	return s, json.Unmarshal(body, s)
}

// callInstance calls an instance at the address of its metrics and returns the body of the answer. A
// status of 300 or more is an error.
func callInstance(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, instanceCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%s answered with status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// stated returns the text of a limit; empty if the endpoint states none.
func stated[T any](limit *T) string {
	if limit == nil {
		return ""
	}
	return fmt.Sprint(*limit)
}

// printQueues prints what teams use of the shared queues that an instance owns. The level is empty for
// teams without waiting requests.
func printQueues(w io.Writer, uses []sharedqueue.Use) {
	_, _ = fmt.Fprintln(w, "\nQUEUE\tSHARD\tLEVEL\tTEAM\tWAITING\tTOKENS BY WEIGHT")
	for _, u := range uses {
		level := ""
		if u.Level >= 0 {
			level = fmt.Sprint(u.Level)
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%.0f\n", u.Service, u.Shard, level, u.Team, u.Waiting, u.Tokens)
	}
}

func printState(out io.Writer, s *front.State) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "instance\t%s\nready\t%v\nstopping\t%v\nconfiguration\t%d, known to be the newest %d ms ago\nopen requests\t%d\nstore calls\t%d\nreaches endpoints\t%v\n",
		s.Instance, s.Ready, s.Stopping, s.Configuration, s.AgeMS, s.Open, s.StoreCalls, !s.NoEndpoints)
	_, _ = fmt.Fprintln(w, "\nPEER\tDATA CENTRE\tREADY\tCALLERS")
	for _, p := range s.Peers {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", p.ID, p.DataCentre, p.Ready, p.Callers)
	}
	_, _ = fmt.Fprintln(w, "\nENDPOINT\tSERVICE\tDATA CENTRE\tLEAVING\tSUSPECTED\tLOAD\tOPEN\tRATE\tMAX REFUSALS")
	for _, e := range s.Endpoints {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%d\t%d\t%s\t%s\n",
			e.ID, e.Service, e.DataCentre, e.Leaving, e.Suspected, e.Load, e.Open, stated(e.Rate), stated(e.MaxRefusals))
	}
	if len(s.Queues) > 0 {
		printQueues(w, s.Queues)
	}
	if len(s.Stopped) > 0 {
		_, _ = fmt.Fprintln(w)
		printStopped(w, s.Stopped)
	}
	if len(s.Rollouts) > 0 {
		_, _ = fmt.Fprintln(w)
		printRollouts(w, s.Rollouts)
	}
	return w.Flush()
}
