// Command agatewayd is the daemon that runs on every entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/gateway/daemon"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/settings"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	var file string
	root := &cobra.Command{
		Use: "agatewayd", Short: "Serves generations and plain services on one entry instance",
		SilenceUsage: true,
		RunE:         func(cmd *cobra.Command, _ []string) error { return run(cmd, file) },
	}
	root.Flags().StringVar(&file, "config", "agatewayd.ini", "settings file")
	config := &cobra.Command{Use: "config", Short: "Checks and prints settings"}
	config.AddCommand(
		&cobra.Command{Use: "check FILE", Short: "Checks a settings file", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return err
		}},
		&cobra.Command{Use: "print", Short: "Prints all keys with their defaults and units", Run: func(cmd *cobra.Command, _ []string) {
			settings.Print(cmd.OutOrStdout())
		}},
	)
	root.AddCommand(config, frontCommand())
	return root
}

// memoryLimitShare is the part of the memory of the process above which garbage is collected more often. The rest is
// left for what the collector does not count.
const memoryLimitShare = 0.6

// run serves until SIGTERM or SIGINT and then drains. An interrupt during the drain ends the
// process at once.
func run(cmd *cobra.Command, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Process.Memory) * (1 << 20)))
	signals := stopSignals()
	d, err := daemon.Start(s, network.TCP{}, os.Stderr)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "ready callers=%s peers=%s\n", d.Callers, d.Peers); err != nil {
		return err
	}
	waitForStop(signals, os.Exit)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.Drain(ctx)
	return nil
}
