package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/cli/explain"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID [FILE...]", Short: "Tells the story of one request from the logs of all instances (standard input without a file)",
		Args: cobra.MinimumNArgs(1), SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := readLogs(cmd, args[1:])
			if err != nil {
				return err
			}
			timeline, found := log.TimelineOf(args[0])
			if !found {
				return fmt.Errorf("no line names request %s (%d lines read, %d are no log lines)", args[0], len(log.Lines), log.Unparsed)
			}
			return timeline.Print(cmd.OutOrStdout())
		},
	}
}

// readLogs reads all files, or standard input if there are none.
func readLogs(cmd *cobra.Command, files []string) (*explain.Log, error) {
	log := &explain.Log{}
	if len(files) == 0 {
		return log, log.Read(cmd.InOrStdin())
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = log.Read(f)
		_ = f.Close() // the file was only read, so closing it loses nothing
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return log, nil
}
