package main

import (
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/demo"
)

// Defaults of the demo: short, and well within a small machine.
const (
	demoDuration = 8 * time.Second
	demoRate     = 150 // requests a second to each service
)

// demoCommand returns `demo`.
func demoCommand() *cobra.Command {
	o := demo.Options{}
	cmd := &cobra.Command{
		Use: "demo", Short: "Show the node at work on loopback, with stand-in servers and a mixed load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			o.Live = isTerminal(os.Stdout)
			return demo.Run(ctx, o, os.Stdout)
		},
	}
	cmd.Flags().DurationVar(&o.For, "for", demoDuration, "how long requests are sent, up to 1m")
	cmd.Flags().Float64Var(&o.Rate, "rate", demoRate, "requests a second to each service, up to 1000")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "of arrivals, kinds and work")
	return cmd
}
