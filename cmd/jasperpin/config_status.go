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

// maxReportBytes is the maximum size of a relay's report: each of maxReportedNodes has some 200 bytes.
const maxReportBytes = 2 << 20

// shownDigestBytes is the length of the prefix of a digest that is printed: enough to distinguish two digests.
const shownDigestBytes = 8

// relayColumns is the number of columns that are empty for a relay without a report.
const relayColumns = 9

// relayStatus is the report of one relay, or the error of the request for it.
type relayStatus struct {
	Name   string       `json:"Name"`
	Zone   string       `json:"Zone"`
	Region string       `json:"Region"`
	Behind uint64       `json:"Behind"` // versions behind the committed one
	Error  string       `json:"Error,omitempty"`
	Report *relayReport `json:"Told,omitempty"`
}

// distributionStatus is the output of `config status`: how far the configuration has been distributed.
type distributionStatus struct {
	Version  uint64        `json:"Version"` // the newest
	Digest   string        `json:"Digest"`
	Majority bool          `json:"Majority"` // whether a majority of the voters confirmed Version
	Relays   []relayStatus `json:"Relays"`
}

// printStatus prints the committed version, and how far the relays and the worst of their nodes are behind.
func (c *configClient) printStatus(ctx context.Context, worst int) error {
	newest, err := c.newestVersion(ctx)
	if err != nil {
		return err
	}
	status := distributionStatus{
		Version: newest.Version, Digest: fmt.Sprintf("%x", newest.Digest[:shownDigestBytes]), Majority: newest.Confirmed,
		Relays: c.fetchReports(ctx, worst),
	}
	status.rankRelays()
	err = c.print(c.out, status, func(w io.Writer) { status.write(w, worst) })
	if err == nil && !newest.Confirmed {
		err = errNoMajority
	}
	return err
}

// rankRelays sets how far each relay is behind, and sorts the relays: those without a report first, then
// those that are furthest behind.
func (d *distributionStatus) rankRelays() {
	for i := range d.Relays {
		if report := d.Relays[i].Report; report != nil {
			d.Relays[i].Behind = d.Version - min(d.Version, report.Version) // the relay may have a newer version by now
		}
	}
	slices.SortStableFunc(d.Relays, func(a, b relayStatus) int {
		return cmp.Or(cmp.Compare(a.reportCount(), b.reportCount()), cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.Name, b.Name))
	})
}

// reportCount returns the number of reports, 0 or 1.
func (r *relayStatus) reportCount() int {
	if r.Report == nil {
		return 0
	}
	return 1
}

// reportedNode is a node and the name of the relay that reports it.
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
		age := "never in sync"
		if report.Age >= 0 {
			age = report.Age.Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Name, r.Zone, report.Version, r.Behind, age,
			report.Streams, report.Level, report.Late, report.Silent, report.Refusing, report.Why)
	}
	_ = table.Flush() // a write error recurs at the next write
}

func writeNodes(out io.Writer, nodes []reportedNode) {
	table := newTable(out)
	fmt.Fprintln(table, "NODE\tZONE\tRELAY\tVERSION\tBEHIND\tWHY")
	for _, n := range nodes {
		fmt.Fprintf(table, "%q\t%q\t%s\t%d\t%d\t%s\n", n.Node, n.Zone, n.relay, n.Version, n.Behind, oneLine(n.Why))
	}
	_ = table.Flush() // the error is ignored as in writeRelays
}

// fetchReports fetches the reports of all relays that the file lists, concurrently.
func (c *configClient) fetchReports(ctx context.Context, worst int) []relayStatus {
	tls, err := c.distribution.Files.Load(configsync.RelayName)
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{TLSClientConfig: tls}}
	defer client.CloseIdleConnections()
	statuses := make([]relayStatus, len(c.distribution.Relays))
	var fetches sync.WaitGroup
	for i, r := range c.distribution.Relays {
		statuses[i] = relayStatus{Name: r.Name, Zone: r.Zone, Region: r.Region}
		if err != nil {
			statuses[i].Error = err.Error()
			continue
		}
		fetches.Go(func() { statuses[i].fetch(ctx, client, r, worst) })
	}
	fetches.Wait()
	return statuses
}

// fetch sets the relay's report, or the error of the request for it.
func (r *relayStatus) fetch(ctx context.Context, client *http.Client, relay config.StatusRelay, worst int) {
	if relay.Status == "" {
		r.Error = "the file has no status address for this relay"
		return
	}
	report, err := fetchReport(ctx, client, relay.Status, worst)
	if err != nil {
		r.Error = err.Error()
		return
	}
	r.Report = report
}

// fetchReport fetches the report of the relay with the given status address.
func fetchReport(ctx context.Context, client *http.Client, address string, worst int) (*relayReport, error) {
	target := fmt.Sprintf("https://%s%s?worst=%d", address, statusPath, min(worst, maxReportedNodes))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("fetching a relay's report: %w", err)
	}
	resp, err := client.Do(req)
	if urlErr := (*url.Error)(nil); errors.As(err, &urlErr) {
		err = urlErr.Err // without the URL: the output names the relay
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, fmt.Errorf("fetching a relay's report: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %s", address, resp.Status)
	}
	var report relayReport
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, fmt.Errorf("decoding the report of %s: %w", address, err)
	}
	return &report, nil
}
