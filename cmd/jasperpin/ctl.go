package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/admin"
)

// ctl is where and how operators' calls are made.
type ctl struct {
	at     string
	asJSON bool
	wait   time.Duration
}

// ctlCommand is the operators' side of the door.
func ctlCommand() *cobra.Command {
	c := &ctl{}
	cmd := &cobra.Command{
		Use: "ctl", Short: "Call a running node at its operators' door",
		Long: "Call a running node at its operators' door: --at, or $GW_CONTROL where that is set.\n" +
			"Exit 0 where the node says done, 1 where it says error or does not answer.",
		Example: "  jasperpin ctl ready --at 127.0.0.1:9800\n  jasperpin ctl exclude s-5be2a07c\n  jasperpin ctl watch --at unix:/run/jasperpin/door.sock",
	}
	c.flags(cmd)
	watch := &cobra.Command{Use: "watch", Short: "Show the figures with rates, each second, until interrupted", Args: cobra.NoArgs}
	every := watch.Flags().Duration("every", time.Second, "how often")
	times := watch.Flags().Int("times", 0, "how often in all; 0 for no end")
	watch.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
		defer stop()
		return c.watch(ctx, cmd.OutOrStdout(), max(*every, 100*time.Millisecond), *times)
	}
	cmd.AddCommand(
		c.command("ready", "Whether the process is ready to serve", "readyz", cobra.NoArgs),
		&cobra.Command{Use: "figures", Short: "The figures, once", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return c.figures(cmd.Context(), cmd.OutOrStdout())
		}},
		c.command("exclude ID", "Send nothing more to a server (POOL/ID where the node has pools)", "exclude", cobra.ExactArgs(1)),
		c.command("include ID", "Let a server serve again", "include", cobra.ExactArgs(1)),
		watch,
	)
	return cmd
}

// flags are those that all calls have.
func (c *ctl) flags(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&c.at, "at", "", "the door: an address and port, or unix:/PATH")
	f.BoolVar(&c.asJSON, "json", false, "answer in JSON")
	f.DurationVar(&c.wait, "wait", 2*time.Second, "for the answer")
}

// command is a command that makes one call.
func (c *ctl) command(use, about, name string, args cobra.PositionalArgs) *cobra.Command {
	return &cobra.Command{Use: use, Short: about, Args: args, RunE: func(cmd *cobra.Command, words []string) error {
		return c.call(cmd.Context(), cmd.OutOrStdout(), strings.Join(append([]string{name}, words...), " "))
	}}
}

// door says where to call.
func (c *ctl) door() (string, error) {
	at := cmp.Or(c.at, os.Getenv("GW_CONTROL"))
	if at == "" {
		return "", errors.New("no door: name it with --at, or set GW_CONTROL")
	}
	return at, nil
}

// ask has something asked at the door, within the time.
func ask[T any](ctx context.Context, c *ctl, do func(ctx context.Context, at string) (T, error)) (answer T, err error) {
	at, err := c.door()
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	return do(ctx, at)
}

// lines makes a call and gives the lines of its answer.
func (c *ctl) lines(ctx context.Context, line string) ([]string, error) {
	return ask(ctx, c, func(ctx context.Context, at string) ([]string, error) { return admin.Call(ctx, at, line) })
}

func (c *ctl) call(ctx context.Context, out io.Writer, line string) error {
	_, err := c.lines(ctx, line)
	if !c.asJSON {
		if err == nil {
			fmt.Fprintln(out, "done")
		}
		return err
	}
	answer := struct {
		Done  bool   `json:"done"`
		Error string `json:"error,omitempty"`
	}{Done: err == nil}
	if err != nil {
		answer.Error = err.Error()
	}
	if enc := json.NewEncoder(out).Encode(answer); enc != nil {
		return fmt.Errorf("printing the answer: %w", enc)
	}
	return err
}

func (c *ctl) read(ctx context.Context) ([]admin.Metric, error) {
	return ask(ctx, c, admin.ReadMetrics)
}

func (c *ctl) figures(ctx context.Context, out io.Writer) error {
	all, err := c.read(ctx)
	if err != nil {
		return err
	}
	if c.asJSON {
		return json.NewEncoder(out).Encode(all)
	}
	for _, f := range all {
		fmt.Fprintf(out, "%s=%d\n", f.Name, f.Value)
	}
	return nil
}

// home takes a terminal back to its first line.
const home = "\x1b[H\x1b[2J"

// watch shows the figures with what they grow by a second. A call that fails is shown
// and the next one made: a node that restarts comes back.
func (c *ctl) watch(ctx context.Context, out io.Writer, every time.Duration, times int) error {
	terminal := false
	if f, ok := out.(*os.File); ok {
		info, err := f.Stat()
		terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	was, at := make(map[string]uint64), time.Time{}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for n := 1; ; n++ {
		all, err := c.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		if terminal {
			fmt.Fprint(out, home)
		}
		switch {
		case err != nil:
			fmt.Fprintln(out, err)
		case c.asJSON:
			if err := json.NewEncoder(out).Encode(all); err != nil {
				return fmt.Errorf("printing the figures: %w", err)
			}
		default:
			show(out, all, was, now.Sub(at))
		}
		if err == nil {
			keep(was, all)
			at = now
		}
		if n == times {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// keep takes the figures for those of the last time.
func keep(was map[string]uint64, all []admin.Metric) {
	for _, f := range all {
		was[f.Name] = f.Value
	}
}

// gauges are the figures that go up and down, and have no rate.
var gauges = map[string]bool{"svc.open_requests": true, "svc.registry_entries": true, "svc.out_of_rotation": true,
	"config_version": true, "config_level": true, "config_age_ms": true, "config_refused": true}

// show prints the figures as a table. A figure that has fallen is of a new process.
func show(out io.Writer, all []admin.Metric, was map[string]uint64, since time.Duration) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, f := range all {
		rate := ""
		if old, seen := was[f.Name]; seen && !gauges[f.Name] && f.Value >= old {
			rate = fmt.Sprintf("%.1f/s", float64(f.Value-old)/since.Seconds())
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", f.Name, f.Value, rate)
	}
	_ = w.Flush()
}
