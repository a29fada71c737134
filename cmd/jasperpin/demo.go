package main

import (
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/demo"
)

func demoCommand() *cobra.Command {
	o := demo.Options{}
	cmd := &cobra.Command{
		Use: "demo", Short: "Show the node at work on loopback, with stand-in servers and a mixed load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			if f, err := os.Stdout.Stat(); err == nil {
				o.Live = f.Mode()&os.ModeCharDevice != 0
			}
			return demo.Run(ctx, o, os.Stdout)
		},
	}
	cmd.Flags().DurationVar(&o.For, "for", 8*time.Second, "how long requests are sent, up to 1m")
	cmd.Flags().Float64Var(&o.Rate, "rate", 150, "requests a second to each service, up to 1000")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "of arrivals, kinds and work")
	return cmd
}
