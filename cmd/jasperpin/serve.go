package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"jasperpin/internal/node"
)

// root is the command line. Serving is what it does when nothing else is asked.
func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "jasperpin",
		Short:         "A load balancer that keeps its promises",
		SilenceErrors: true, SilenceUsage: true,
		Args: cobra.NoArgs,
	}
	var file, control string
	run := func(*cobra.Command, []string) error { return serve(file, control) }
	cmd.RunE = run
	cmd.Flags().StringVarP(&file, "config", "c", "", "the operator's file; without it GW_CONFIG names the platform's")
	cmd.Flags().StringVar(&control, "control", "", "where operators call, in place of node.control: a new version beside the running one needs a door of its own")
	srv := &cobra.Command{
		Use: "serve", Short: "Serve until SIGTERM; SIGHUP reads the configuration anew", Args: cobra.NoArgs, RunE: run,
		Example: "  jasperpin serve -c deploy/jasperpin.toml",
	}
	srv.Flags().AddFlagSet(cmd.Flags())
	cmd.AddCommand(srv, ctlCommand(), clusterCommand(), configCommand(), membersCommand(), checkCommand(), routeCommand(), demoCommand(), versionCommand())
	return cmd
}

// serve serves until SIGTERM or SIGINT, answers what it has taken, and ends.
func serve(file, control string) error {
	// Caught from the first moment, as it would end the process. One that is
	// pending covers any that follow: they all ask for the newest configuration.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var source node.Source = node.File{Path: file, Control: control}
	if file == "" {
		if control != "" {
			return errors.New("--control goes with -c: the platform names the door in GW_CONTROL")
		}
		if os.Getenv("GW_CONFIG") == "" {
			return errors.New("nothing to serve: name a file with -c, or set GW_CONFIG; `jasperpin demo` needs neither")
		}
		source = &node.Platform{Getenv: os.Getenv}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.Start(source, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	n.Limit()
	return n.Run(ctx, reload)
}
