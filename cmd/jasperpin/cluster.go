package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/config"
	"jasperpin/internal/consensus"
)

// clusterWait is the default of --wait for a call of the group.
const clusterWait = 5 * time.Second

// clusterClient calls the consensus group that a file names.
type clusterClient struct{ fileFlags }

// clusterCall is what a command of the group does.
type clusterCall func(ctx context.Context, client *consensus.Client, cfg *config.Config, out io.Writer, args []string) error

// clusterCommand returns `cluster`, the commands for the consensus group.
func clusterCommand() *cobra.Command {
	c := &clusterClient{}
	cmd := &cobra.Command{
		Use: "cluster", Short: "Begin a group of instances, look at it, change its voters",
		Long: "Begin a group of instances, look at it, change its voters. The operator's file (-c) says\n" +
			"where the voters are, and which certificate to show them.",
		Example: "  jasperpin cluster begin -c node.toml --voter a=127.0.0.1:7800 --voter b=127.0.0.1:7801 --voter c=127.0.0.1:7802\n" +
			"  jasperpin cluster members -c node.toml\n  jasperpin cluster remove b -c node.toml",
	}
	c.add(cmd, "the operator's file, with a [cluster] table", clusterWait, "for the group's answer")
	cmd.AddCommand(
		c.beginCommand(),
		c.joinCommand(),
		c.callCommand("members", "The voters, and the instances that are there", cobra.NoArgs, c.printMembers),
		c.callCommand("status", "What each voter knows", cobra.NoArgs, c.printStatus),
		c.callCommand("add ID ADDRESS", "Take in a voter that has joined", cobra.ExactArgs(2), addVoter),
		c.callCommand("backup FILE", "Write what is agreed to a new file", cobra.ExactArgs(1), backup),
		c.callCommand("restore FILE", "Put a back-up in the place of what is agreed; leases end", cobra.ExactArgs(1), restore),
		c.callCommand("remove ID", "Remove a voter for ever", cobra.ExactArgs(1), removeVoter),
	)
	return cmd
}

// beginCommand returns `cluster begin`.
func (c *clusterClient) beginCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "begin", Short: "Make the folder of one of a new group's first voters", Args: cobra.NoArgs}
	voters := cmd.Flags().StringToString("voter", nil, "a first voter: the name of its node, and its address; 1, 3 or 5 of them, the same for each")
	cmd.RunE = func(*cobra.Command, []string) error {
		cfg, err := c.loadVoter()
		if err != nil {
			return err
		}
		return consensus.Bootstrap(cfg.Cluster.Directory, cfg.Name, *voters)
	}
	return cmd
}

// joinCommand returns `cluster join`.
func (c *clusterClient) joinCommand() *cobra.Command {
	return &cobra.Command{Use: "join", Short: "Make the folder of a voter that the group is to take in", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		cfg, err := c.loadVoter()
		if err != nil {
			return err
		}
		if err := consensus.Join(cfg.Cluster.Directory, cfg.Name); err != nil {
			return err
		}
		id, err := consensus.Identity(cfg.Cluster.Directory)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "start it, and then: jasperpin cluster add %s %s\n", id, cfg.Cluster.Listen)
		return err
	}}
}

// callCommand returns a command that makes a call to the group.
func (c *clusterClient) callCommand(use, about string, args cobra.PositionalArgs, call clusterCall) *cobra.Command {
	return &cobra.Command{Use: use, Short: about, Args: args, RunE: func(cmd *cobra.Command, words []string) error {
		cfg, err := c.load()
		if err != nil {
			return err
		}
		client, err := consensus.NewClient(cfg.Cluster.Voters, cfg.Cluster.Files)
		if err != nil {
			return err
		}
		defer client.Close()
		ctx, cancel := context.WithTimeout(cmd.Context(), c.wait)
		defer cancel()
		return call(ctx, client, cfg, cmd.OutOrStdout(), words)
	}}
}

// load reads the file, which must have [cluster].
func (c *clusterClient) load() (*config.Config, error) {
	cfg, err := config.Load(c.file)
	if err != nil {
		return nil, err
	}
	if !cfg.Cluster.Enabled() {
		return nil, fmt.Errorf("%s has no [cluster] table: want one with voters, certificate, key and authorities", c.file)
	}
	return cfg, nil
}

// loadVoter reads the file, which must be a voter's.
func (c *clusterClient) loadVoter() (*config.Config, error) {
	cfg, err := c.load()
	if err != nil {
		return nil, err
	}
	if cfg.Cluster.Directory == "" {
		return nil, fmt.Errorf("%s is no voter's: want cluster.folder and listen", c.file)
	}
	return cfg, nil
}

func addVoter(ctx context.Context, client *consensus.Client, _ *config.Config, _ io.Writer, args []string) error {
	return client.ChangeVoters(ctx, consensus.VoterChange{Add: args[0], Addr: args[1]})
}

func removeVoter(ctx context.Context, client *consensus.Client, _ *config.Config, _ io.Writer, args []string) error {
	return client.ChangeVoters(ctx, consensus.VoterChange{Remove: args[0]})
}

func backup(ctx context.Context, client *consensus.Client, _ *config.Config, _ io.Writer, args []string) error {
	b, err := client.Backup(ctx)
	if err != nil {
		return err
	}
	return writeNewFile(args[0], b.Encode())
}

func restore(ctx context.Context, client *consensus.Client, _ *config.Config, _ io.Writer, args []string) error {
	sealed, err := os.ReadFile(args[0])
	if err != nil {
		return fmt.Errorf("reading a back-up: %w", err)
	}
	b, err := consensus.DecodeBackup(sealed)
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	return client.RestoreBackup(ctx, b)
}

// writeNewFile writes a back-up to a file that is not there yet, and syncs it to the disk.
func writeNewFile(path string, text []byte) error {
	const ownerOnly = 0o600
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if err != nil {
		return fmt.Errorf("writing a back-up: %w", err)
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(path) // an incomplete back-up is of no use; the error that led here is returned
		return fmt.Errorf("writing a back-up: %w", err)
	}
	return nil
}
