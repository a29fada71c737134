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
	errControlWithoutFile = errors.New("--control requires -c: the platform sets the admin address in GW_CONTROL")
	errNothingToServe     = errors.New("nothing to serve: name a file with -c, or set GW_CONFIG; `jasperpin demo` needs neither")
)

// rootCommand returns the jasperpin command with its subcommands. Without a subcommand it serves.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "jasperpin",
		Short:         "A load balancer and the command-line tool of its operators",
		SilenceErrors: true, SilenceUsage: true,
		Args: cobra.NoArgs,
	}
	var file, control string
	run := func(*cobra.Command, []string) error { return serve(file, control) }
	cmd.RunE = run
	cmd.Flags().StringVarP(&file, "config", "c", "", "the operator's file; without it GW_CONFIG names the platform's file")
	cmd.Flags().StringVar(&control, "control", "", "the admin address, overrides node.control: a new process beside a running one needs its own address")
	serveCommand := &cobra.Command{
		Use: "serve", Short: "Serve until SIGTERM; reload the configuration on SIGHUP", Args: cobra.NoArgs, RunE: run,
		Example: "  jasperpin serve -c deploy/jasperpin.toml",
	}
	serveCommand.Flags().AddFlagSet(cmd.Flags())
	cmd.AddCommand(serveCommand, ctlCommand(), clusterCommand(), configCommand(), membersCommand(), checkCommand(), routeCommand(), demoCommand(), versionCommand())
	return cmd
}

// serve runs a node until SIGTERM or SIGINT, then drains it.
func serve(file, control string) error {
	// SIGHUP is caught before the node starts, because by default it ends the process. One pending
	// signal is enough for any signals that follow: each requests the newest configuration.
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

// configSource returns the operator's file, or the platform's configuration if no file is named.
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
