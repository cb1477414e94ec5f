package command

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/cli/caller"
)

// callerClient returns a client of the callers' interface for the instances in --address.
func (o *options) callerClient() *caller.Client {
	return caller.New(caller.Options{Entries: strings.Split(o.address, ","), Key: o.key})
}

func askCommand(o *options) *cobra.Command {
	r := caller.Request{SendTokens: true}
	c := &cobra.Command{
		Use: "ask PROMPT", Short: "Asks for a generation and prints it as it comes; - reads the prompt from standard input",
		Long: "Asks for a generation. When its instance is lost, it goes on at another one with the cursor of the last\nevent. --address may name several instances, separated by commas.",
		Args: cobra.ExactArgs(1),
	}
	f := c.Flags()
	f.StringVar(&r.Model, "model", "", "deployment, or deployment:adapter")
	f.IntVar(&r.MaxTokens, "max-tokens", 256, "most tokens")
	f.Int64Var(&r.Seed, "seed", 0, "sampling seed")
	f.StringVar(&r.IdempotencyKey, "idempotency-key", "", "lets the request be asked again")
	f.DurationVar(&r.Timeout, "deadline", time.Minute, "time for the whole answer")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		r.Prompt = args[0]
		if r.Prompt == "-" {
			raw, err := io.ReadAll(os.Stdin)
			if err != nil {
				return err
			}
			r.Prompt = string(raw)
		}
		w := cmd.OutOrStdout()
		if o.output != outputJSON {
			r.OnToken = func(text string) { _, _ = fmt.Fprint(w, text) }
		}
		a, err := o.callerClient().Generate(cmd.Context(), r)
		if err != nil {
			return err
		}
		return o.print(w, askOutput{a.Text, a.Tokens, a.FinishReason, a.Resumes, a.FirstToken.Milliseconds()}, func() error {
			_, err := fmt.Fprintln(w)
			return err
		})
	}
	return c
}

// askOutput is the JSON output of the ask command. Resumes counts how often the answer continued at
// another instance; FirstTokenMS is the time until the first token, in milliseconds.
type askOutput struct {
	Text         string `json:"text"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason"`
	Resumes      int    `json:"resumes"`
	FirstTokenMS int64  `json:"first_token_ms"`
}

func entryCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "entry", Short: "Asks which addresses to use", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		e, err := o.callerClient().Entry(cmd.Context(), strings.Split(o.address, ",")[0])
		if err != nil {
			return err
		}
		w := cmd.OutOrStdout()
		return o.print(w, e, func() error {
			for _, a := range e.Addresses {
				if _, err := fmt.Fprintf(w, "%s\t%s\t%s\n", a.Address, a.Instance, a.DataCentre); err != nil {
					return err
				}
			}
			return nil
		})
	}}
}
