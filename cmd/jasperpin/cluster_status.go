package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"jasperpin/internal/config"
	"jasperpin/internal/consensus"
)

var errNoVoterAnswers = errors.New("no voter answers")

// clusterMembers is the output of `cluster members`.
type clusterMembers struct {
	Voters    []consensus.Member             `json:"Voters"`
	Instances []consensus.RegisteredInstance `json:"Instances"`
}

func (c *clusterClient) printMembers(ctx context.Context, client *consensus.Client, cfg *config.Config, out io.Writer, _ []string) error {
	instances, err := client.Instances(ctx)
	if err != nil {
		return err
	}
	members := clusterMembers{Voters: currentVoters(ctx, client, cfg.Cluster.Voters), Instances: instances}
	return c.printTable(out, members, func(w io.Writer) {
		fmt.Fprintln(w, "VOTER\tADDRESS\t")
		for _, v := range members.Voters {
			fmt.Fprintf(w, "%s\t%s\t%s\n", v.ID, v.Addr, leaderLabel(v.IsLeader))
		}
		fmt.Fprintln(w, "\nINSTANCE\tLIFE\tNUMBER")
		for _, i := range members.Instances {
			fmt.Fprintf(w, "%s\t%s\t%d\n", i.Name, i.Incarnation, i.FencingToken)
		}
	})
}

// currentVoters returns the voters as the leader lists them, or without a leader as any voter lists them.
func currentVoters(ctx context.Context, client *consensus.Client, addresses []string) (voters []consensus.Member) {
	for _, address := range addresses {
		status, err := client.Status(ctx, address)
		if err != nil {
			continue // another voter may answer; `cluster status` shows the error of this one
		}
		if voters == nil || status.IsLeader {
			voters = status.Voters
		}
	}
	return voters
}

func leaderLabel(isLeader bool) string {
	if isLeader {
		return "leads"
	}
	return ""
}

// voterStatus is the output of `cluster status` for one voter: its status, or the error of the call.
type voterStatus struct {
	Address string            `json:"Addr"`
	Error   string            `json:"Error,omitempty"`
	Status  *consensus.Status `json:"Told,omitempty"`
}

func (c *clusterClient) printStatus(ctx context.Context, client *consensus.Client, cfg *config.Config, out io.Writer, _ []string) error {
	var statuses []voterStatus
	answered := false
	for _, address := range cfg.Cluster.Voters {
		v := voterStatus{Address: address}
		if status, err := client.Status(ctx, address); err != nil {
			v.Error = err.Error()
		} else {
			v.Status, answered = &status, true
		}
		statuses = append(statuses, v)
	}
	err := c.printTable(out, statuses, func(w io.Writer) {
		fmt.Fprintln(w, "ADDRESS\tVOTER\tTERM\tLAST\tKNOWN\tREVISION\t")
		for _, v := range statuses {
			if v.Status == nil {
				fmt.Fprintf(w, "%s\t%s\n", v.Address, oneLine(v.Error))
				continue
			}
			s := v.Status
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", v.Address, s.ID, s.Term, s.LastIndex, s.AppliedIndex, s.Revision, leaderLabel(s.IsLeader))
		}
	})
	if err == nil && !answered {
		err = errNoVoterAnswers
	}
	return err
}

// printTable writes a value as JSON with --json, and otherwise the table that rows writes.
func (c *clusterClient) printTable(out io.Writer, value any, rows func(io.Writer)) error {
	if c.asJSON {
		return printJSON(out, value)
	}
	table := newTable(out)
	rows(table)
	return table.Flush()
}
