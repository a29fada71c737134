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
	// configWait is the default of --wait for each answer of the voters: a snapshot takes a while.
	configWait = 30 * time.Second
	// defaultLogEntries is the default of `config log --last`.
	defaultLogEntries = 20
	// defaultWorstNodes is the default of `config status --worst`.
	defaultWorstNodes = 20
)

// configFlags are the flags of the commands for the agreed configuration.
type configFlags struct {
	fileFlags
	author string // of a change
	note   string
	base   uint64 // the version that a change rests on; 0 for the newest
}

// configClient reads and changes the agreed configuration for one command.
type configClient struct {
	*configFlags
	voters       *consensus.Client
	distribution *config.Distribution
	out          io.Writer
	notes        io.Writer // what the answer's reader should know besides
}

// configCall is what a command for the agreed configuration does.
type configCall func(ctx context.Context, c *configClient, args []string) error

// configCommand returns `config`, the commands for the agreed configuration.
func configCommand() *cobra.Command {
	f := &configFlags{}
	cmd := &cobra.Command{
		Use: "config", Short: "Look at the configuration that the voters agree on, change it, carry it to nodes",
		Long: "Look at the configuration that the voters agree on, change it, carry it to nodes. The file (-c)\n" +
			"says where the voters and the relays are, and which certificates to show them.\n" +
			"Exit 0 where it is done or nothing is to do, 1 with a mistake or where nobody answers, 2 where\n" +
			"another's change came first, 3 where it is not known what became of a change.",
		Example: "  jasperpin config diff services.toml -c ops.toml\n" +
			"  jasperpin config propose services.toml --base 41 --note \"orders: two servers more\" -c ops.toml\n" +
			"  jasperpin config put pool/orders pool.toml -c ops.toml\n  jasperpin config rollback 41 -c ops.toml",
	}
	f.add(cmd, "the file with [cluster] and [config] tables", configWait, "for the voters' answers, each")
	cmd.AddCommand(
		f.withBase(f.withAuthor(f.callCommand("propose FILE", "Have what a file says be all that is agreed", cobra.ExactArgs(1), propose))),
		f.withBase(f.withAuthor(f.callCommand("put KEY FILE", "Have one record be as a file in TOML has its table", cobra.ExactArgs(2), put))),
		f.withBase(f.withAuthor(f.callCommand("delete KEY", "Delete one record", cobra.ExactArgs(1), remove))),
		f.withBase(f.callCommand("diff FILE", "Show by which records and fields a file differs from what is agreed", cobra.ExactArgs(1), diff)),
		f.logCommand(),
		f.withAuthor(f.callCommand("rollback VERSION", "Have all records be as they were at a version, by a new one", cobra.ExactArgs(1), rollback)),
		f.statusCommand(),
		f.relayCommand(),
	)
	return cmd
}

// callCommand returns a command that calls the voters.
func (f *configFlags) callCommand(use, about string, args cobra.PositionalArgs, call configCall) *cobra.Command {
	return &cobra.Command{Use: use, Short: about, Args: args, RunE: func(cmd *cobra.Command, words []string) error {
		d, err := config.LoadDistribution(f.file)
		if err != nil {
			return err
		}
		voters, err := consensus.NewClient(d.Cluster.Voters, d.Cluster.Files)
		if err != nil {
			return err
		}
		defer voters.Close()
		c := &configClient{configFlags: f, voters: voters, distribution: d, out: cmd.OutOrStdout(), notes: cmd.ErrOrStderr()}
		return call(cmd.Context(), c, words)
	}}
}

// withAuthor adds the flags of a command that makes a change.
func (f *configFlags) withAuthor(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&f.author, "author", userName(), "who makes the change")
	cmd.Flags().StringVar(&f.note, "note", "", "what it is for")
	return cmd
}

// withBase adds the flag of a command that compares a file with a version.
func (f *configFlags) withBase(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().Uint64Var(&f.base, "base", 0, "the version that the file was made from; 0 for the newest")
	return cmd
}

// logCommand returns `config log`.
func (f *configFlags) logCommand() *cobra.Command {
	var last int
	cmd := f.callCommand("log", "The last changes, the newest first", cobra.NoArgs,
		func(ctx context.Context, c *configClient, _ []string) error { return c.printLog(ctx, last) })
	cmd.Flags().IntVarP(&last, "last", "n", defaultLogEntries, "how many")
	return cmd
}

// statusCommand returns `config status`.
func (f *configFlags) statusCommand() *cobra.Command {
	var worst int
	cmd := f.callCommand("status", "What is agreed, how far each relay and its nodes are, and why not further", cobra.NoArgs,
		func(ctx context.Context, c *configClient, _ []string) error { return c.printStatus(ctx, worst) })
	cmd.Flags().IntVar(&worst, "worst", defaultWorstNodes, "how many nodes are shown, the worst first")
	return cmd
}

// relayCommand returns `config relay`.
func (f *configFlags) relayCommand() *cobra.Command {
	return &cobra.Command{Use: "relay", Short: "Carry the configuration from the voters to nodes until SIGTERM", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		d, err := config.LoadDistribution(f.file)
		if err != nil {
			return err
		}
		if d.OwnRelay.Listen == "" {
			return fmt.Errorf("%s is no relay's: want config.listen", f.file)
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return runRelay(ctx, d, slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
	}}
}

// userName returns the name of the user who runs the command, or "" where the system does not tell.
func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}
