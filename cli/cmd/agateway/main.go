// Command agateway is the command line for operators and callers, with the load tool and
// the stand-ins.
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
