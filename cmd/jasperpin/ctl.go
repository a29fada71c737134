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
	// adminWait is the default of --wait: a node answers in milliseconds.
	adminWait = 2 * time.Second
	// minWatchInterval keeps `ctl watch` from burdening a node.
	minWatchInterval = 100 * time.Millisecond
)

var errNoAdminAddress = errors.New("no admin address: name it with --at, or set GW_CONTROL")

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
		Long: "Call a running node at its admin address: --at, or $GW_CONTROL where that is set.\n" +
			"Exit 0 where the node says done, 1 where it says error or does not answer.",
		Example: "  jasperpin ctl ready --at 127.0.0.1:9800\n  jasperpin ctl exclude s-5be2a07c\n  jasperpin ctl watch --at unix:/run/jasperpin/door.sock",
	}
	c.addFlags(cmd)
	cmd.AddCommand(
		c.callCommand("ready", "Whether the process is ready to serve", "readyz", cobra.NoArgs),
		&cobra.Command{Use: "figures", Short: "The metrics, once", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return c.printMetrics(cmd.Context(), cmd.OutOrStdout())
		}},
		c.callCommand("exclude ID", "Send nothing more to a server (POOL/ID where the node has pools)", "exclude", cobra.ExactArgs(1)),
		c.callCommand("include ID", "Let a server serve again", "include", cobra.ExactArgs(1)),
		c.watchCommand(),
	)
	return cmd
}

// watchCommand returns `ctl watch`.
func (c *adminClient) watchCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "watch", Short: "Show the metrics with rates, each second, until interrupted", Args: cobra.NoArgs}
	every := cmd.Flags().Duration("every", time.Second, "how often")
	times := cmd.Flags().Int("times", 0, "how often in all; 0 for no end")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
		defer stop()
		return c.watch(ctx, cmd.OutOrStdout(), max(*every, minWatchInterval), *times)
	}
	return cmd
}

// addFlags adds the flags of all calls.
func (c *adminClient) addFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.address, "at", "", "the admin address: an address and port, or unix:/PATH")
	c.add(cmd, adminWait, "for the answer")
}

// callCommand returns a command that makes one call, with its arguments.
func (c *adminClient) callCommand(use, about, call string, args cobra.PositionalArgs) *cobra.Command {
	return &cobra.Command{Use: use, Short: about, Args: args, RunE: func(cmd *cobra.Command, words []string) error {
		return c.call(cmd.Context(), cmd.OutOrStdout(), strings.Join(append([]string{call}, words...), " "))
	}}
}

// withAddress calls do with the admin address and a context that ends with --wait.
func withAddress[T any](ctx context.Context, c *adminClient, do func(ctx context.Context, address string) (T, error)) (T, error) {
	address := cmp.Or(c.address, os.Getenv("GW_CONTROL"))
	if address == "" {
		var none T
		return none, errNoAdminAddress
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	return do(ctx, address)
}

// lines makes a call and returns the lines of its answer.
func (c *adminClient) lines(ctx context.Context, call string) ([]string, error) {
	return withAddress(ctx, c, func(ctx context.Context, address string) ([]string, error) { return admin.Call(ctx, address, call) })
}

// callResult is what a call without lines prints in JSON.
type callResult struct {
	Done  bool   `json:"done"`
	Error string `json:"error,omitempty"`
}

// call makes a call that has no lines to print.
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
