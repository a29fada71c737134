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

// clusterMembers is what `cluster members` prints.
type clusterMembers struct {
	Voters    []consensus.Member             `json:"Voters"`
	Instances []consensus.RegisteredInstance `json:"Instances"`
}

func (c *clusterClient) printMembers(ctx context.Context, client *consensus.Client, cfg *config.Config, out io.Writer, _ []string) error {
	instances, err := client.Instances(ctx)
	if err != nil {
		return err
	}
	members := clusterMembers{Voters: votersOf(ctx, client, cfg.Cluster.Voters), Instances: instances}
	return c.printTable(out, members, func(w io.Writer) {
		fmt.Fprintln(w, "VOTER\tADDRESS\t")
		for _, v := range members.Voters {
			fmt.Fprintf(w, "%s\t%s\t%s\n", v.ID, v.Addr, leads(v.IsLeader))
		}
		fmt.Fprintln(w, "\nINSTANCE\tLIFE\tNUMBER")
		for _, i := range members.Instances {
			fmt.Fprintf(w, "%s\t%s\t%d\n", i.Name, i.Incarnation, i.FencingToken)
		}
	})
}

// votersOf returns the voters as their leader knows them, or any of them where none leads.
func votersOf(ctx context.Context, client *consensus.Client, addresses []string) (voters []consensus.Member) {
	for _, address := range addresses {
		status, err := client.Status(ctx, address)
		if err != nil {
			continue // another one may answer; `cluster status` shows why this one does not
		}
		if voters == nil || status.IsLeader {
			voters = status.Voters
		}
	}
	return voters
}

func leads(yes bool) string {
	if yes {
		return "leads"
	}
	return ""
}

// voterStatus is what `cluster status` prints of one voter: its status, or why it does not answer.
type voterStatus struct {
	Address string            `json:"Addr"`
	Error   string            `json:"Error,omitempty"`
	Status  *consensus.Status `json:"Told,omitempty"`
}

func (c *clusterClient) printStatus(ctx context.Context, client *consensus.Client, cfg *config.Config, out io.Writer, _ []string) error {
	var all []voterStatus
	answered := false
	for _, address := range cfg.Cluster.Voters {
		v := voterStatus{Address: address}
		if status, err := client.Status(ctx, address); err != nil {
			v.Error = err.Error()
		} else {
			v.Status, answered = &status, true
		}
		all = append(all, v)
	}
	err := c.printTable(out, all, func(w io.Writer) {
		fmt.Fprintln(w, "ADDRESS\tVOTER\tTERM\tLAST\tKNOWN\tREVISION\t")
		for _, v := range all {
			if v.Status == nil {
				fmt.Fprintf(w, "%s\t%s\n", v.Address, oneLine(v.Error))
				continue
			}
			s := v.Status
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", v.Address, s.ID, s.Term, s.LastIndex, s.AppliedIndex, s.Revision, leads(s.IsLeader))
		}
	})
	if err == nil && !answered {
		err = errNoVoterAnswers
	}
	return err
}

// printTable writes a value in JSON, or as a table.
func (c *clusterClient) printTable(out io.Writer, value any, rows func(io.Writer)) error {
	if c.asJSON {
		return printJSON(out, value)
	}
	table := newTable(out)
	rows(table)
	return table.Flush()
}
