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

// defaultClusterWait is the default of --wait for the `cluster` commands.
const defaultClusterWait = 5 * time.Second

// clusterClient calls the consensus group whose voters a configuration file lists.
type clusterClient struct{ fileFlags }

// clusterCall runs one `cluster` command against the consensus group.
type clusterCall func(ctx context.Context, client *consensus.Client, cfg *config.Config, out io.Writer, args []string) error

// clusterCommand returns `cluster`, the commands for the consensus group.
func clusterCommand() *cobra.Command {
	client := &clusterClient{}
	cmd := &cobra.Command{
		Use: "cluster", Short: "Create a consensus group, inspect it and change its voters",
		Long: "Create a consensus group, inspect it and change its voters. The operator's file (-c) lists the\n" +
			"addresses of the voters and names the client certificate for connections to them.",
		Example: "  jasperpin cluster begin -c node.toml --voter a=127.0.0.1:7800 --voter b=127.0.0.1:7801 --voter c=127.0.0.1:7802\n" +
			"  jasperpin cluster members -c node.toml\n  jasperpin cluster remove b -c node.toml",
	}
	client.add(cmd, "the operator's file, with a [cluster] table", defaultClusterWait, "how long to wait for the group's answer")
	cmd.AddCommand(
		client.beginCommand(),
		client.joinCommand(),
		client.callCommand("members", "List the voters and the registered instances", cobra.NoArgs, client.printMembers),
		client.callCommand("status", "Show the status of each voter", cobra.NoArgs, client.printStatus),
		client.callCommand("add ID ADDRESS", "Add a voter whose folder `cluster join` has created", cobra.ExactArgs(2), addVoter),
		client.callCommand("backup FILE", "Write the committed state to a new file", cobra.ExactArgs(1), backup),
		client.callCommand("restore FILE", "Replace the committed state with a backup; all leases end", cobra.ExactArgs(1), restore),
		client.callCommand("remove ID", "Remove a voter permanently", cobra.ExactArgs(1), removeVoter),
	)
	return cmd
}

// beginCommand returns the `cluster begin` command.
func (c *clusterClient) beginCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "begin", Short: "Create the folder of one of the first voters of a new group", Args: cobra.NoArgs}
	voters := cmd.Flags().StringToString("voter", nil, "a first voter as NAME=ADDRESS, the name of its node and its address; 1, 3 or 5 of them, the same list at each voter")
	cmd.RunE = func(*cobra.Command, []string) error {
		cfg, err := c.loadVoter()
		if err != nil {
			return err
		}
		return consensus.Bootstrap(cfg.Cluster.Directory, cfg.Name, *voters)
	}
	return cmd
}

// joinCommand returns the `cluster join` command.
func (c *clusterClient) joinCommand() *cobra.Command {
	return &cobra.Command{Use: "join", Short: "Create the folder of a voter that joins an existing group", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
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
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "start the node, then run: jasperpin cluster add %s %s\n", id, cfg.Cluster.Listen)
		return err
	}}
}

// callCommand returns a command that calls the consensus group.
func (c *clusterClient) callCommand(use, short string, positionalArgs cobra.PositionalArgs, call clusterCall) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: positionalArgs, RunE: func(cmd *cobra.Command, args []string) error {
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
		return call(ctx, client, cfg, cmd.OutOrStdout(), args)
	}}
}

// load reads the configuration file. A file without a [cluster] table is an error.
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

// loadVoter reads the configuration file. A file that does not configure a voter is an error.
func (c *clusterClient) loadVoter() (*config.Config, error) {
	cfg, err := c.load()
	if err != nil {
		return nil, err
	}
	if cfg.Cluster.Directory == "" {
		return nil, fmt.Errorf("%s does not configure a voter: want cluster.folder and cluster.listen", c.file)
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
	encoded, err := os.ReadFile(args[0])
	if err != nil {
		return fmt.Errorf("reading a backup: %w", err)
	}
	b, err := consensus.DecodeBackup(encoded)
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	return client.RestoreBackup(ctx, b)
}

// writeNewFile writes a backup to a new file and syncs it to the disk. An existing file is an error.
func writeNewFile(path string, text []byte) error {
	const ownerOnly = 0o600
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if err != nil {
		return fmt.Errorf("writing a backup: %w", err)
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(path) // an incomplete backup is useless; the error of the write is returned
		return fmt.Errorf("writing a backup: %w", err)
	}
	return nil
}
