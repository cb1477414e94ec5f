package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/front"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/settings"
)

// frontCommand returns the command that runs an instance that forwards requests on a platform.
func frontCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "front", Short: "Forwards requests on a platform whose store holds routes, keys and endpoints",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runFront(file) },
	}
	cmd.Flags().StringVar(&file, "config", "front.ini", "settings file")
	cmd.AddCommand(
		&cobra.Command{Use: "check FILE", Short: "Checks a settings file", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.LoadFront(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return err
		}},
		&cobra.Command{Use: "print", Short: "Prints all keys with their defaults and units", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
			settings.PrintFront(cmd.OutOrStdout())
		}},
	)
	return cmd
}

// runFront serves until SIGTERM or SIGINT and then drains. An interrupt during the drain ends the
// process at once. SIGPIPE is ignored: the process must go on when the reader of its log goes away.
// SIGHUP reloads the settings.
func runFront(file string) error {
	s, err := settings.LoadFront(file)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE)
	signals := stopSignals()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	f, err := front.Start(s, front.Environment{Network: network.TCP{Source: net.ParseIP(s.Process.Source)}, Clock: clock.Boot, Out: os.Stdout})
	if err != nil {
		return err
	}
	go f.WatchFile(context.Background(), file) // until the process ends
	go func() {
		for range reload {
			f.Reload(file)
		}
	}()
	waitForStop(signals, os.Exit)
	f.Drain()
	return nil
}
