package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/admin"
)

const (
	// defaultAdminWait is the default of --wait: a node answers in milliseconds.
	defaultAdminWait = 2 * time.Second
	// minWatchInterval is the minimum of --every: it bounds the load of `ctl watch` on a node.
	minWatchInterval = 100 * time.Millisecond
)

var errNoAdminAddress = errors.New("no admin address: set --at or GW_CONTROL")

// adminClient calls the admin server of a node.
type adminClient struct {
	callFlags
	address string
}

// ctlCommand returns `ctl`, the commands for a running node.
func ctlCommand() *cobra.Command {
	c := &adminClient{}
	cmd := &cobra.Command{
		Use: "ctl", Short: "Call a running node at its admin address",
		Long: "Call a running node at its admin address: --at, or $GW_CONTROL by default.\n" +
			"Exit 0 if the node answers done, 1 if it answers error or does not answer.",
		Example: "  jasperpin ctl ready --at 127.0.0.1:9800\n  jasperpin ctl exclude s-5be2a07c\n  jasperpin ctl watch --at unix:/run/jasperpin/door.sock",
	}
	c.addFlags(cmd)
	cmd.AddCommand(
		c.callCommand("ready", "Check whether the process is ready to serve", "readyz", cobra.NoArgs),
		&cobra.Command{Use: "figures", Short: "Print the metrics once", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return c.printMetrics(cmd.Context(), cmd.OutOrStdout())
		}},
		c.callCommand("exclude ID", "Take a server out of rotation (POOL/ID if the node has pools)", "exclude", cobra.ExactArgs(1)),
		c.callCommand("include ID", "Put a server back into rotation", "include", cobra.ExactArgs(1)),
		c.watchCommand(),
	)
	return cmd
}

// watchCommand returns the `ctl watch` command.
func (c *adminClient) watchCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "watch", Short: "Print the metrics and their rates every second until interrupted", Args: cobra.NoArgs}
	every := cmd.Flags().Duration("every", time.Second, "the interval between calls")
	times := cmd.Flags().Int("times", 0, "the number of calls; 0 for no limit")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
		defer stop()
		return c.watch(ctx, cmd.OutOrStdout(), max(*every, minWatchInterval), *times)
	}
	return cmd
}

// addFlags adds the flags that all admin calls have.
func (c *adminClient) addFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.address, "at", "", "the admin address: an address and port, or unix:/PATH")
	c.add(cmd, defaultAdminWait, "how long to wait for the answer")
}

// callCommand returns a command that makes one admin call with the arguments of the command.
func (c *adminClient) callCommand(use, short, call string, positionalArgs cobra.PositionalArgs) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: positionalArgs, RunE: func(cmd *cobra.Command, args []string) error {
		return c.call(cmd.Context(), cmd.OutOrStdout(), strings.Join(append([]string{call}, args...), " "))
	}}
}

// withAddress calls do with the admin address and a context whose timeout is --wait.
func withAddress[T any](ctx context.Context, c *adminClient, do func(ctx context.Context, address string) (T, error)) (T, error) {
	address := cmp.Or(c.address, os.Getenv("GW_CONTROL"))
	if address == "" {
		var zero T
		return zero, errNoAdminAddress
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	return do(ctx, address)
}

// lines makes an admin call and returns the lines of its answer.
func (c *adminClient) lines(ctx context.Context, call string) ([]string, error) {
	return withAddress(ctx, c, func(ctx context.Context, address string) ([]string, error) { return admin.Call(ctx, address, call) })
}

// callResult is the JSON output for a call whose answer has no lines.
type callResult struct {
	Done  bool   `json:"done"`
	Error string `json:"error,omitempty"`
}

// call makes an admin call whose answer has no lines, and prints the result.
func (c *adminClient) call(ctx context.Context, out io.Writer, call string) error {
	_, err := c.lines(ctx, call)
	if err != nil && !c.asJSON {
		return err
	}
	result := callResult{Done: err == nil}
	if err != nil {
		result.Error = err.Error()
	}
	if printErr := c.print(out, result, func(w io.Writer) { fmt.Fprintln(w, "done") }); printErr != nil {
		return printErr
	}
	return err
}

// metrics reads the node's metrics.
func (c *adminClient) metrics(ctx context.Context) ([]admin.Metric, error) {
	return withAddress(ctx, c, admin.ReadMetrics)
}

func (c *adminClient) printMetrics(ctx context.Context, out io.Writer) error {
	all, err := c.metrics(ctx)
	if err != nil {
		return err
	}
	return c.print(out, all, func(w io.Writer) {
		for _, m := range all {
			fmt.Fprintf(w, "%s=%d\n", m.Name, m.Value)
		}
	})
}
