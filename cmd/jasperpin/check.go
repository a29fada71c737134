package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"jasperpin/internal/config"
)

// checkCommand returns the `check` command.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a configuration file and report all its errors; exit 1 if there are any", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			routes := 0
			for _, s := range cfg.Services {
				routes += len(s.Routes)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d services, %d routes, %d pools\n", args[0], len(cfg.Services), routes, len(cfg.Pools))
			return nil
		},
	}
}
