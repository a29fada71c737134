package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/config"
	"jasperpin/internal/consensus"
)

// group is where and how the group is asked.
type group struct {
	file   string
	asJSON bool
	wait   time.Duration
}

// clusterCommand is the operators' side of the group.
func clusterCommand() *cobra.Command {
	g := &group{}
	cmd := &cobra.Command{
		Use: "cluster", Short: "Begin a group of instances, look at it, change its voters",
		Long: "Begin a group of instances, look at it, change its voters. The operator's file (-c) says\n" +
			"where the voters are, and which certificate to show them.",
		Example: "  jasperpin cluster begin -c node.toml --voter a=127.0.0.1:7800 --voter b=127.0.0.1:7801 --voter c=127.0.0.1:7802\n" +
			"  jasperpin cluster members -c node.toml\n  jasperpin cluster remove b -c node.toml",
	}
	f := cmd.PersistentFlags()
	f.StringVarP(&g.file, "config", "c", "", "the operator's file, with a [cluster] table")
	f.BoolVar(&g.asJSON, "json", false, "answer in JSON")
	f.DurationVar(&g.wait, "wait", 5*time.Second, "for the group's answer")
	_ = cmd.MarkPersistentFlagRequired("config") // it is there

	begin := &cobra.Command{Use: "begin", Short: "Make the folder of one of a new group's first voters", Args: cobra.NoArgs}
	voters := begin.Flags().StringToString("voter", nil, "a first voter: the name of its node, and its address; 1, 3 or 5 of them, the same for each")
	begin.RunE = func(*cobra.Command, []string) error {
		return g.folder(func(c *config.Config) error { return consensus.Begin(c.Cluster.Folder, c.Name, *voters) })
	}
	join := &cobra.Command{Use: "join", Short: "Make the folder of a voter that the group is to take in", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return g.folder(func(c *config.Config) error {
			if err := consensus.Join(c.Cluster.Folder, c.Name); err != nil {
				return err
			}
			id, err := consensus.Identity(c.Cluster.Folder)
			if err == nil {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "start it, and then: jasperpin cluster add %s %s\n", id, c.Cluster.Listen)
			}
			return err
		})
	}}
	ask := func(use, about string, args cobra.PositionalArgs, call func(context.Context, *consensus.Client, *config.Config, io.Writer, []string) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: about, Args: args, RunE: func(cmd *cobra.Command, words []string) error {
			cfg, err := g.load()
			if err != nil {
				return err
			}
			c, err := consensus.NewClient(cfg.Cluster.Voters, cfg.Cluster.Files)
			if err != nil {
				return err
			}
			defer c.Close()
			ctx, cancel := context.WithTimeout(cmd.Context(), g.wait)
			defer cancel()
			return call(ctx, c, cfg, cmd.OutOrStdout(), words)
		}}
	}
	cmd.AddCommand(begin, join,
		ask("members", "The voters, and the instances that are there", cobra.NoArgs, g.members),
		ask("status", "What each voter knows", cobra.NoArgs, g.status),
		ask("add ID ADDRESS", "Take in a voter that has joined", cobra.ExactArgs(2), func(ctx context.Context, c *consensus.Client, _ *config.Config, _ io.Writer, w []string) error {
			return c.Change(ctx, consensus.Change{Add: w[0], Addr: w[1]})
		}),
		ask("backup FILE", "Write what is agreed to a new file", cobra.ExactArgs(1), func(ctx context.Context, c *consensus.Client, _ *config.Config, _ io.Writer, w []string) error {
			b, err := c.Backup(ctx)
			if err != nil {
				return err
			}
			return writeNew(w[0], b.Seal())
		}),
		ask("restore FILE", "Put a back-up in the place of what is agreed; leases end", cobra.ExactArgs(1), func(ctx context.Context, c *consensus.Client, _ *config.Config, _ io.Writer, w []string) error {
			text, err := os.ReadFile(w[0])
			if err != nil {
				return fmt.Errorf("reading a back-up: %w", err)
			}
			b, err := consensus.Unseal(text)
			if err != nil {
				return fmt.Errorf("%s: %w", w[0], err)
			}
			return c.Revive(ctx, b)
		}),
		ask("remove ID", "Remove a voter for ever", cobra.ExactArgs(1), func(ctx context.Context, c *consensus.Client, _ *config.Config, _ io.Writer, w []string) error {
			return c.Change(ctx, consensus.Change{Remove: w[0]})
		}),
	)
	return cmd
}

// writeNew writes a file that is not there yet, and has it on the disk.
func writeNew(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("writing a back-up: %w", err)
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(path) // half a back-up is none
		return fmt.Errorf("writing a back-up: %w", err)
	}
	return nil
}

func (g *group) load() (*config.Config, error) {
	cfg, err := config.Load(g.file)
	if err == nil && !cfg.Cluster.On() {
		err = fmt.Errorf("%s has no [cluster] table: want one with voters, certificate, key and authorities", g.file)
	}
	return cfg, err
}

func (g *group) folder(do func(*config.Config) error) error {
	cfg, err := g.load()
	if err == nil && cfg.Cluster.Folder == "" {
		err = fmt.Errorf("%s is no voter's: want cluster.folder and listen", g.file)
	}
	if err != nil {
		return err
	}
	return do(cfg)
}

// membership is the group as members tells of it.
type membership struct {
	Voters    []consensus.Member   `json:"Voters"`
	Instances []consensus.Presence `json:"Instances"`
}

func (g *group) members(ctx context.Context, c *consensus.Client, cfg *config.Config, out io.Writer, _ []string) error {
	there, err := c.Instances(ctx)
	if err != nil {
		return err
	}
	m := membership{Instances: there}
	for _, addr := range cfg.Cluster.Voters {
		if s, err := c.Status(ctx, addr); err == nil && (m.Voters == nil || s.Leads) {
			m.Voters = s.Voters
		}
	}
	return g.tell(out, m, func(w io.Writer) {
		fmt.Fprintln(w, "VOTER\tADDRESS\t")
		for _, v := range m.Voters {
			fmt.Fprintf(w, "%s\t%s\t%s\n", v.ID, v.Addr, leads(v.Leads))
		}
		fmt.Fprintln(w, "\nINSTANCE\tLIFE\tNUMBER")
		for _, i := range m.Instances {
			fmt.Fprintf(w, "%s\t%s\t%d\n", i.Name, i.Life, i.Fence)
		}
	})
}

func leads(yes bool) string {
	if yes {
		return "leads"
	}
	return ""
}

// told is what one voter tells, or why it does not.
type told struct {
	Addr  string            `json:"Addr"`
	Error string            `json:"Error,omitempty"`
	Told  *consensus.Status `json:"Told,omitempty"`
}

func (g *group) status(ctx context.Context, c *consensus.Client, cfg *config.Config, out io.Writer, _ []string) error {
	var all []told
	answered := false
	for _, addr := range cfg.Cluster.Voters {
		t := told{Addr: addr}
		if s, err := c.Status(ctx, addr); err != nil {
			t.Error = err.Error()
		} else {
			t.Told, answered = &s, true
		}
		all = append(all, t)
	}
	err := g.tell(out, all, func(w io.Writer) {
		fmt.Fprintln(w, "ADDRESS\tVOTER\tTERM\tLAST\tKNOWN\tREVISION\t")
		for _, t := range all {
			if t.Told == nil {
				fmt.Fprintf(w, "%s\t%s\n", t.Addr, strings.ReplaceAll(t.Error, "\n", " "))
				continue
			}
			s := t.Told
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", t.Addr, s.ID, s.Term, s.Last, s.Known, s.Rev, leads(s.Leads))
		}
	})
	if err == nil && !answered {
		err = errors.New("no voter answers")
	}
	return err
}

// tell writes in JSON, or as a table.
func (g *group) tell(out io.Writer, v any, table func(io.Writer)) error {
	if g.asJSON {
		return json.NewEncoder(out).Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}
