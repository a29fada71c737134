package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/config"
	"jasperpin/internal/consensus"
)

const (
	// defaultConfigWait is the default of --wait for each answer of the voters: a snapshot takes
	// longer to transfer than other answers.
	defaultConfigWait = 30 * time.Second
	// defaultLogEntries is the default of `config log --last`.
	defaultLogEntries = 20
	// defaultWorstNodes is the default of `config status --worst`.
	defaultWorstNodes = 20
)

// configFlags are the flags of the `config` commands.
type configFlags struct {
	fileFlags
	author string // author of a change
	note   string
	base   uint64 // the version that a change is based on; 0 for the newest
}

// configClient reads and changes the committed configuration for one command.
type configClient struct {
	*configFlags
	voters       *consensus.Client
	distribution *config.Distribution
	out          io.Writer
	notices      io.Writer // for warnings and remarks beside the output
}

// configCall runs one `config` command.
type configCall func(ctx context.Context, c *configClient, args []string) error

// configCommand returns `config`, the commands for the configuration that the voters commit.
func configCommand() *cobra.Command {
	flags := &configFlags{}
	cmd := &cobra.Command{
		Use: "config", Short: "Inspect, change and distribute the configuration that the voters agree on",
		Long: "Inspect, change and distribute the configuration that the voters agree on. The file (-c) lists the\n" +
			"addresses of the voters and the relays, and names the certificates for connections to them.\n" +
			"Exit 0 on success or if nothing is to be done, 1 on an error or if no voter answers, 2 if a\n" +
			"conflicting change was committed first, 3 if it is unknown whether a change was committed.",
		Example: "  jasperpin config diff services.toml -c ops.toml\n" +
			"  jasperpin config propose services.toml --base 41 --note \"orders: two more servers\" -c ops.toml\n" +
			"  jasperpin config put pool/orders pool.toml -c ops.toml\n  jasperpin config rollback 41 -c ops.toml",
	}
	flags.add(cmd, "the file with [cluster] and [config] tables", defaultConfigWait, "how long to wait for each answer of the voters")
	cmd.AddCommand(
		flags.withBase(flags.withAuthor(flags.callCommand("propose FILE", "Replace the whole configuration with the contents of a file", cobra.ExactArgs(1), propose))),
		flags.withBase(flags.withAuthor(flags.callCommand("put KEY FILE", "Set one record to the table in a TOML file", cobra.ExactArgs(2), put))),
		flags.withBase(flags.withAuthor(flags.callCommand("delete KEY", "Delete one record", cobra.ExactArgs(1), remove))),
		flags.withBase(flags.callCommand("diff FILE", "Show the records and fields in which a file differs from the committed configuration", cobra.ExactArgs(1), diff)),
		flags.logCommand(),
		flags.withAuthor(flags.callCommand("rollback VERSION", "Restore all records of an earlier version, as a new version", cobra.ExactArgs(1), rollback)),
		flags.statusCommand(),
		flags.relayCommand(),
	)
	return cmd
}

// callCommand returns a command that calls the voters.
func (f *configFlags) callCommand(use, short string, positionalArgs cobra.PositionalArgs, call configCall) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: positionalArgs, RunE: func(cmd *cobra.Command, args []string) error {
		d, err := config.LoadDistribution(f.file)
		if err != nil {
			return err
		}
		voters, err := consensus.NewClient(d.Cluster.Voters, d.Cluster.Files)
		if err != nil {
			return err
		}
		defer voters.Close()
		c := &configClient{configFlags: f, voters: voters, distribution: d, out: cmd.OutOrStdout(), notices: cmd.ErrOrStderr()}
		return call(cmd.Context(), c, args)
	}}
}

// withAuthor adds the flags of a command that makes a change.
func (f *configFlags) withAuthor(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&f.author, "author", userName(), "the author of the change")
	cmd.Flags().StringVar(&f.note, "note", "", "the reason for the change")
	return cmd
}

// withBase adds the flag of a command that compares a file with a version.
func (f *configFlags) withBase(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().Uint64Var(&f.base, "base", 0, "the version that the file is based on; 0 for the newest")
	return cmd
}

// logCommand returns the `config log` command.
func (f *configFlags) logCommand() *cobra.Command {
	var last int
	cmd := f.callCommand("log", "List the last changes, newest first", cobra.NoArgs,
		func(ctx context.Context, c *configClient, _ []string) error { return c.printLog(ctx, last) })
	cmd.Flags().IntVarP(&last, "last", "n", defaultLogEntries, "how many changes to list")
	return cmd
}

// statusCommand returns the `config status` command.
func (f *configFlags) statusCommand() *cobra.Command {
	var worst int
	cmd := f.callCommand("status", "Show the committed version, how far each relay and its nodes are behind, and why", cobra.NoArgs,
		func(ctx context.Context, c *configClient, _ []string) error { return c.printStatus(ctx, worst) })
	cmd.Flags().IntVar(&worst, "worst", defaultWorstNodes, "how many nodes to list, worst first")
	return cmd
}

// relayCommand returns the `config relay` command.
func (f *configFlags) relayCommand() *cobra.Command {
	return &cobra.Command{Use: "relay", Short: "Distribute the configuration from the voters to nodes until SIGTERM", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		d, err := config.LoadDistribution(f.file)
		if err != nil {
			return err
		}
		if d.OwnRelay.Listen == "" {
			return fmt.Errorf("%s does not configure a relay: want config.listen", f.file)
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return runRelay(ctx, d, slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
	}}
}

// userName returns the name of the user who runs the command, or "" if it is unknown.
func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}
