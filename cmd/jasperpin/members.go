package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/gossip"
)

// membersCommand returns `members`, the commands for the members of a fleet.
func membersCommand() *cobra.Command {
	c := &adminClient{}
	cmd := &cobra.Command{
		Use: "members", Short: "List the members of the fleet as a node knows them", Args: cobra.NoArgs,
		Long: "List the members of the fleet that may be serving, as a node with [members] knows them: all that it\n" +
			"has ever received gossip about and that are not proven to have ended. --at is the node's admin address.",
		Example: "  jasperpin members --at 127.0.0.1:9800\n  jasperpin members ended node-07 1764628929123456 --at 127.0.0.1:9800",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.printMembers(cmd.Context(), cmd.OutOrStdout())
		},
	}
	c.addFlags(cmd)
	cmd.AddCommand(
		c.callCommand("begin", "Confirm that no other member serves, so that this node begins the fleet", "begin-fleet", cobra.NoArgs),
		c.callCommand("ended NAME LIFE", "Confirm that an incarnation (LIFE) has ended; all members are notified", "member-ended", cobra.ExactArgs(2)),
	)
	return cmd
}

func (c *adminClient) printMembers(ctx context.Context, out io.Writer) error {
	lines, err := c.lines(ctx, "members")
	if err != nil {
		return err
	}
	members, err := gossip.ReadMembers(lines)
	if err != nil {
		return err
	}
	if c.asJSON { // each line is a JSON object
		_, err = fmt.Fprintf(out, "[%s]\n", strings.Join(lines, ","))
		return err
	}
	table := newTable(out)
	fmt.Fprintln(table, "MEMBER\tSITE\tSTATE\tHEARD\tLIFE\tPART\tLOAD\t")
	for _, m := range members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.4f\t%s\t\n", m.Name, m.Zone, m.State, lastReceived(m), m.Incarnation, m.Quota, lastLoad(m))
	}
	return table.Flush()
}

// lastReceived returns how long ago the node last received gossip about a member.
func lastReceived(m gossip.Member) string {
	switch {
	case m.Self:
		return "itself"
	case m.Age >= 0:
		return m.Age.Round(100*time.Millisecond).String() + " ago"
	default:
		return "never"
	}
}

// lastLoad returns the load that a member last published and its age, or "" if it has published none.
func lastLoad(m gossip.Member) string {
	note, known := m.Notes["load"]
	if !known {
		return ""
	}
	return fmt.Sprintf("%s/s, %v ago", note.Text, note.Age.Round(time.Second))
}
