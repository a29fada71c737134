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

var (
	errControlWithoutFile = errors.New("--control goes with -c: the platform names the admin address in GW_CONTROL")
	errNothingToServe     = errors.New("nothing to serve: name a file with -c, or set GW_CONFIG; `jasperpin demo` needs neither")
)

// rootCommand returns the command line. Without a command it serves.
func rootCommand() *cobra.Command {
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
	cmd.Flags().StringVar(&control, "control", "", "the admin address, in place of node.control: a new version beside the running one needs one of its own")
	serveCommand := &cobra.Command{
		Use: "serve", Short: "Serve until SIGTERM; SIGHUP reads the configuration anew", Args: cobra.NoArgs, RunE: run,
		Example: "  jasperpin serve -c deploy/jasperpin.toml",
	}
	serveCommand.Flags().AddFlagSet(cmd.Flags())
	cmd.AddCommand(serveCommand, ctlCommand(), clusterCommand(), configCommand(), membersCommand(), checkCommand(), routeCommand(), demoCommand(), versionCommand())
	return cmd
}

// serve serves until SIGTERM or SIGINT, and drains.
func serve(file, control string) error {
	// SIGHUP is caught from the first moment, as it would end the process. One that is pending
	// covers any that follow: all ask for the newest configuration.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	source, err := configSource(file, control)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.Start(source, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	n.LimitProcess()
	return n.Run(ctx, reload)
}

// configSource returns the operator's file, or without one the platform's configuration.
func configSource(file, control string) (node.Source, error) {
	switch {
	case file != "":
		return node.File{Path: file, Control: control}, nil
	case control != "":
		return nil, errControlWithoutFile
	case os.Getenv("GW_CONFIG") == "":
		return nil, errNothingToServe
	default:
		return &node.Platform{Getenv: os.Getenv}, nil
	}
}
