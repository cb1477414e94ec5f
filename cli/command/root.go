// Package command implements the command line of agateway: commands for operators and callers, for
// load and fault tests, for logs and the state of instances, and for the stand-ins of external
// systems.
package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/agateway/agateway/cli/caller"
)

// Exit codes of the agateway command.
const (
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
)

// options holds the flags that all commands share.
type options struct {
	address string
	key     string
	output  string
}

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// Root returns the root command with all subcommands.
func Root() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use: "agateway", Short: "Operates and calls agateway", SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != "text" && o.output != outputJSON {
				return usageError{fmt.Errorf("--output: %q is neither text nor json", o.output)}
			}
			return nil
		},
	}
	f := root.PersistentFlags()
	f.StringVar(&o.address, "address", "127.0.0.1:8080", "address of an instance")
	f.StringVar(&o.key, "key", "", "operators' key, or a team's key for callers' commands")
	f.StringVar(&o.output, "output", "text", "text or json")
	root.AddCommand(deploymentCommand(o), teamCommand(o), fleetCommand(o), askCommand(o), entryCommand(o),
		standinCommand(), demoCommand(), benchCommand(o), explainCommand(), stateCommand(), stoppedCommand(), rolloutsCommand(), soakCommand())
	return root
}

// usageError marks an error in the command line or in a file that it names.
type usageError struct{ error }

// ExitCode returns the exit code for an error of a command. A refusal with a time to retry after
// gives ExitUnavailable.
func ExitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		if refusal.RetryAfter > 0 {
			return ExitUnavailable
		}
		return ExitFailed
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return ExitConflict
	case connect.CodeNotFound:
		return ExitNotFound
	case connect.CodeUnavailable:
		return ExitUnavailable
	case connect.CodeInvalidArgument:
		return ExitUsage
	}
	return ExitFailed
}

// print writes v as JSON, or calls text.
func (o *options) print(w io.Writer, v any, text func() error) error {
	if o.output != outputJSON {
		return text()
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
