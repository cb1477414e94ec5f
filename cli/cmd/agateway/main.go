// Command agateway is the command line for operators and callers. It also runs load and fault tests
// and the stand-ins of external systems. The exit codes are those of package command.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/agateway/agateway/cli/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.Root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "agateway:", err)
		stop()
		os.Exit(command.ExitCode(err))
	}
}
