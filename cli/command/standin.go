package command

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/agateway/agateway/cli/standin/engine"
	"github.com/agateway/agateway/cli/standin/plain"
	standin "github.com/agateway/agateway/cli/standin/platform"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/platform"
)

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Runs a stand-in for a system that agateway meets"}
	c.AddCommand(standinPlatform(), standinEngine(), standinPlain())
	return c
}

// runUntilSignal prints the address on which a stand-in listens and waits for SIGTERM or SIGINT.
func runUntilSignal(cmd *cobra.Command, address string) error {
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "ready address=%s\n", address); err != nil {
		return err
	}
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	<-c
	return nil
}

func standinPlatform() *cobra.Command {
	var address string
	var lag time.Duration
	c := &cobra.Command{Use: "platform", Short: "Serves the object API from memory", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		p, err := standin.Start(network.TCP{}, address, lag)
		if err != nil {
			return err
		}
		defer p.Close()
		return runUntilSignal(cmd, p.Addr)
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:0", "address to listen on")
	c.Flags().DurationVar(&lag, "lag", time.Second, "age that the list of instances may have")
	return c
}

// crashExitCode is the exit code of a stand-in on which the fault "die" was injected. A process that
// is killed by SIGKILL has the same code in a shell.
const crashExitCode = 137

func standinEngine() *cobra.Command {
	cfg := engine.Config{Network: network.TCP{}, Exit: func() { os.Exit(crashExitCode) }}
	var url string
	var models []string
	c := &cobra.Command{Use: "engine", Short: "Serves generations of a made-up model", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		for _, m := range models {
			name, version, _ := strings.Cut(m, "@")
			cfg.Models = append(cfg.Models, endpoint.LoadedModel{Name: name, Version: version})
		}
		cfg.Platform = platformClient(url)
		e, err := engine.Start(cfg)
		if err != nil {
			return err
		}
		defer e.Close()
		return runUntilSignal(cmd, e.Addr)
	}}
	f := c.Flags()
	f.StringVar(&cfg.ID, "id", "engine-1", "name in the platform's list")
	f.StringVar(&cfg.Address, "address", "127.0.0.1:0", "address to listen on")
	f.StringVar(&cfg.DataCentre, "data-centre", "dc-1", "data centre")
	f.StringVar(&cfg.Service, "service", "engines", "endpoint group")
	f.StringSliceVar(&models, "model", []string{"model@1"}, "loaded models, name@version")
	f.IntVar(&cfg.Slots, "slots", 32, "streams in a batch")
	f.DurationVar(&cfg.Interval, "interval", 33*time.Millisecond, "time of a step: one token per stream")
	f.Float64Var(&cfg.PrefillRate, "prefill-rate", 20000, "tokens prefilled per second")
	f.IntVar(&cfg.CacheBlocks, "cache-blocks", 4096, "blocks in the prefix cache")
	f.DurationVar(&cfg.Lag, "lag", 200*time.Millisecond, "age of load figures and cache events")
	f.Float64Var(&cfg.EventLoss, "gaps", 0.05, "share of cache events that are lost")
	f.BoolVar(&cfg.ChecksFencing, "checks-fencing", true, "refuse orders with an old fencing number")
	f.DurationVar(&cfg.LoadTime, "load-time", time.Second, "time to load a model")
	f.Uint64Var(&cfg.Salt, "salt", 0, "text differs from try to try when not 0")
	f.StringVar(&url, "platform", "", "base URL of the platform, to be listed there")
	return c
}

func standinPlain() *cobra.Command {
	cfg := plain.Config{Network: network.TCP{}, Exit: func() { os.Exit(crashExitCode) }}
	var url string
	c := &cobra.Command{Use: "service", Short: "Serves a plain service that counts its calls", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		cfg.Platform = platformClient(url)
		p, err := plain.Start(cfg)
		if err != nil {
			return err
		}
		defer p.Close()
		return runUntilSignal(cmd, p.Addr)
	}}
	f := c.Flags()
	f.StringVar(&cfg.ID, "id", "service-1", "name in the platform's list")
	f.StringVar(&cfg.Address, "address", "127.0.0.1:0", "address to listen on")
	f.StringVar(&cfg.DataCentre, "data-centre", "dc-1", "data centre")
	f.StringVar(&cfg.Service, "service", "services", "endpoint group")
	f.IntVar(&cfg.Slots, "slots", 64, "calls at once")
	f.DurationVar(&cfg.CallDuration, "work", 5*time.Millisecond, "time that a call takes")
	f.StringVar(&url, "platform", "", "base URL of the platform, to be listed there")
	return c
}

// platformClient returns a client of the platform at a base URL; nil if the URL is empty.
func platformClient(url string) platform.Client {
	if url == "" {
		return nil
	}
	const timeout = 2 * time.Second
	return platform.NewObjects(url, timeout, network.TCP{})
}
