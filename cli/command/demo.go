package command

import (
	"github.com/spf13/cobra"

	"github.com/agateway/agateway/cli/demo"
)

func demoCommand() *cobra.Command {
	cfg := demo.Config{}
	c := &cobra.Command{
		Use: "demo", Short: "Drives running processes through faults and checks every answer (see scripts/demo.sh)",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Operator = NewOperatorClient(cfg.Gateways[0], cfg.OperatorKey)
			cfg.Out = cmd.OutOrStdout()
			return demo.Run(cmd.Context(), cfg)
		},
	}
	f := c.Flags()
	f.StringSliceVar(&cfg.Gateways, "gateways", nil, "addresses of the instances")
	f.StringSliceVar(&cfg.Engines, "engines", nil, "addresses of the engine stand-ins")
	f.StringVar(&cfg.Service, "service", "", "address of the service stand-in")
	f.StringVar(&cfg.OperatorKey, "operator-key", "", "operators' key")
	f.StringSliceVar(&cfg.Deployments, "deployment", nil, "deployment files: the generations' first, the plain service's second")
	f.IntVar(&cfg.Generations, "generations", 120, "generations to send")
	f.IntVar(&cfg.Calls, "calls", 60, "plain calls to send")
	f.IntVar(&cfg.Tokens, "tokens", 150, "tokens per generation")
	f.IntVar(&cfg.KillEngine, "kill-engine", 0, "process to kill while answers are in flight")
	f.IntVar(&cfg.FreezeEngine, "freeze-engine", 0, "process to stop while answers are in flight")
	f.IntVar(&cfg.PauseGateway, "pause-gateway", 0, "process to stop for a while in a second round, and to let return")
	f.IntVar(&cfg.KillGateway, "kill-gateway", 0, "process to kill while answers are in flight")
	return c
}
