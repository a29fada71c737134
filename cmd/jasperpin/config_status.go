package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"jasperpin/internal/config"
	"jasperpin/internal/configsync"
)

// maxReportBytes bounds a relay's report: maxReportedNodes have some 200 bytes each.
const maxReportBytes = 2 << 20

// digestBytes is how much of a digest is shown: enough to tell two apart.
const digestBytes = 8

// relayColumns are the columns that a relay without a report leaves empty.
const relayColumns = 9

// relayStatus is what one relay reports, or why it does not.
type relayStatus struct {
	Name   string       `json:"Name"`
	Zone   string       `json:"Zone"`
	Region string       `json:"Region"`
	Behind uint64       `json:"Behind"` // versions behind what is agreed
	Error  string       `json:"Error,omitempty"`
	Report *relayReport `json:"Told,omitempty"`
}

// distributionStatus is how far the configuration has come, as `config status` prints it.
type distributionStatus struct {
	Version  uint64        `json:"Version"` // the newest
	Digest   string        `json:"Digest"`
	Majority bool          `json:"Majority"` // of the voters stands behind it
	Relays   []relayStatus `json:"Relays"`
}

// printStatus prints what is agreed, and how far relays and the worst of their nodes are.
func (c *configClient) printStatus(ctx context.Context, worst int) error {
	newest, err := c.newest(ctx)
	if err != nil {
		return err
	}
	status := distributionStatus{
		Version: newest.Version, Digest: fmt.Sprintf("%x", newest.Digest[:digestBytes]), Majority: newest.Confirmed,
		Relays: c.askRelays(ctx, worst),
	}
	status.compareRelays()
	err = c.print(c.out, status, func(w io.Writer) { status.write(w, worst) })
	if err == nil && !newest.Confirmed {
		err = errNoMajority
	}
	return err
}

// compareRelays says how far relays are behind, and sorts them: those without a report first, then
// those that are furthest behind.
func (d *distributionStatus) compareRelays() {
	for i := range d.Relays {
		if report := d.Relays[i].Report; report != nil {
			d.Relays[i].Behind = d.Version - min(d.Version, report.Version) // it may be further by now
		}
	}
	slices.SortStableFunc(d.Relays, func(a, b relayStatus) int {
		return cmp.Or(cmp.Compare(a.reports(), b.reports()), cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.Name, b.Name))
	})
}

// reports is the number of reports, 0 or 1.
func (r *relayStatus) reports() int {
	if r.Report == nil {
		return 0
	}
	return 1
}

// reportedNode is a node with the relay that reports it.
type reportedNode struct {
	nodeReport
	relay string
}

// write writes the status as tables of relays and nodes.
func (d *distributionStatus) write(out io.Writer, worst int) {
	fmt.Fprintf(out, "version %d, digest %s\n\n", d.Version, d.Digest)
	d.writeRelays(out)
	var nodes []reportedNode
	for _, r := range d.Relays {
		if r.Report == nil {
			continue
		}
		for _, n := range r.Report.Worst {
			nodes = append(nodes, reportedNode{n, r.Name})
		}
	}
	if len(nodes) == 0 {
		return
	}
	slices.SortStableFunc(nodes, func(a, b reportedNode) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Behind, a.Behind))
	})
	fmt.Fprintln(out)
	writeNodes(out, nodes[:min(len(nodes), max(0, worst))])
}

func (d *distributionStatus) writeRelays(out io.Writer) {
	table := newTable(out)
	fmt.Fprintln(table, "RELAY\tZONE\tVERSION\tBEHIND\tAGE\tSTREAMS\tLEVEL\tLATE\tSILENT\tREFUSING\t")
	for _, r := range d.Relays {
		report := r.Report
		if report == nil {
			fmt.Fprintf(table, "%s\t%s%s%s\n", r.Name, r.Zone, strings.Repeat("\t", relayColumns), oneLine(r.Error))
			continue
		}
		age := "never level"
		if report.Age >= 0 {
			age = report.Age.Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Name, r.Zone, report.Version, r.Behind, age,
			report.Streams, report.Level, report.Late, report.Silent, report.Refusing, report.Why)
	}
	_ = table.Flush() // a failure to print shows in the next line
}

func writeNodes(out io.Writer, nodes []reportedNode) {
	table := newTable(out)
	fmt.Fprintln(table, "NODE\tZONE\tRELAY\tVERSION\tBEHIND\tWHY")
	for _, n := range nodes {
		fmt.Fprintf(table, "%q\t%q\t%s\t%d\t%d\t%s\n", n.Node, n.Zone, n.relay, n.Version, n.Behind, oneLine(n.Why))
	}
	_ = table.Flush() // as above
}

// askRelays asks all relays that the file lists, at the same time.
func (c *configClient) askRelays(ctx context.Context, worst int) []relayStatus {
	tls, err := c.distribution.Files.Load(configsync.RelayName)
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{TLSClientConfig: tls}}
	defer client.CloseIdleConnections()
	all := make([]relayStatus, len(c.distribution.Relays))
	var asking sync.WaitGroup
	for i, r := range c.distribution.Relays {
		all[i] = relayStatus{Name: r.Name, Zone: r.Zone, Region: r.Region}
		if err != nil {
			all[i].Error = err.Error()
			continue
		}
		asking.Go(func() { all[i].ask(ctx, client, r, worst) })
	}
	asking.Wait()
	return all
}

// ask sets the relay's report, or why there is none.
func (r *relayStatus) ask(ctx context.Context, client *http.Client, relay config.StatusRelay, worst int) {
	if relay.Status == "" {
		r.Error = "the file does not say where it tells its status"
		return
	}
	report, err := askRelay(ctx, client, relay.Status, worst)
	if err != nil {
		r.Error = err.Error()
		return
	}
	r.Report = report
}

// askRelay gets the report of the relay whose status is at an address.
func askRelay(ctx context.Context, client *http.Client, address string, worst int) (*relayReport, error) {
	target := fmt.Sprintf("https://%s%s?worst=%d", address, statusPath, min(worst, maxReportedNodes))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("asking a relay: %w", err)
	}
	resp, err := client.Do(req)
	if urlErr := (*url.Error)(nil); errors.As(err, &urlErr) {
		err = urlErr.Err // without the address, which is printed beside it
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, fmt.Errorf("asking a relay: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers %s", address, resp.Status)
	}
	var report relayReport
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, fmt.Errorf("%s answers what cannot be read: %w", address, err)
	}
	return &report, nil
}
