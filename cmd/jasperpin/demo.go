package main

import (
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/demo"
)

// Defaults of the demo: a short run, with a load that is far below the capacity of a small machine.
const (
	demoDuration = 8 * time.Second
	demoRate     = 150 // requests a second to each service
)

// demoCommand returns the `demo` command.
func demoCommand() *cobra.Command {
	options := demo.Options{}
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a node on loopback with emulated servers and a mixed load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			options.ShowProgress = isTerminal(os.Stdout)
			return demo.Run(ctx, options, os.Stdout)
		},
	}
	cmd.Flags().DurationVar(&options.Duration, "for", demoDuration, "how long to send requests, at most 1m")
	cmd.Flags().Float64Var(&options.Rate, "rate", demoRate, "requests a second to each service, at most 1000")
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "the seed of arrival times, request kinds and work")
	return cmd
}
