package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/gossip"
)

// membersCommand is the operators' side of the fleet's members.
func membersCommand() *cobra.Command {
	c := &ctl{}
	cmd := &cobra.Command{
		Use: "members", Short: "Show the members of the fleet as a node knows them", Args: cobra.NoArgs,
		Long: "Show the members of the fleet that may be serving, as a node with [members] knows them: all\n" +
			"that were ever heard of and are not proven gone. The node is asked at its door.",
		Example: "  jasperpin members --at 127.0.0.1:9800\n  jasperpin members ended node-07 1764628929123456 --at 127.0.0.1:9800",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.members(cmd.Context(), cmd.OutOrStdout())
		},
	}
	c.flags(cmd)
	cmd.AddCommand(
		c.command("begin", "Begin the fleet with this node, as no other member serves", "begin-fleet", cobra.NoArgs),
		c.command("ended NAME LIFE", "Count a life no more that has ended: it is told to all members", "member-ended", cobra.ExactArgs(2)),
	)
	return cmd
}

func (c *ctl) members(ctx context.Context, out io.Writer) error {
	lines, err := c.lines(ctx, "members")
	if err != nil {
		return err
	}
	all, err := gossip.ReadMembers(lines)
	if err != nil {
		return err
	}
	if c.asJSON {
		_, err = fmt.Fprintf(out, "[%s]\n", strings.Join(lines, ","))
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tSITE\tSTATE\tHEARD\tLIFE\tPART\tLOAD\t")
	for _, m := range all {
		heard := "never"
		switch {
		case m.Self:
			heard = "itself"
		case m.Age >= 0:
			heard = m.Age.Round(100*time.Millisecond).String() + " ago"
		}
		load := ""
		if told, known := m.Notes["load"]; known {
			load = fmt.Sprintf("%s/s, %v ago", told.Text, told.Age.Round(time.Second))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.4f\t%s\t\n", m.Name, m.Site, m.State, heard, m.Life, m.Part, load)
	}
	return w.Flush()
}
