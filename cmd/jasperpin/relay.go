package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/net/netutil"

	"jasperpin/internal/config"
	"jasperpin/internal/configsync"
	"jasperpin/internal/consensus"
)

const (
	// statusWithin bounds a relay's answer to operators, and statusCalls how many connections ask at a time.
	statusWithin = 2 * time.Second
	statusCalls  = 16
	// maxWorst bounds the nodes that a relay tells of, and maxReport its answer in bytes.
	maxWorst   = 1000
	maxReport  = 2 << 20
	statusPath = "/v1/status"
)

// runRelay carries the configuration until ctx ends. It is an instance of the group, and one of its voters
// where the file says so.
func runRelay(ctx context.Context, d *config.Distribution, log *slog.Logger) error {
	c := d.Cluster
	inst, err := consensus.Open(consensus.InstanceOptions{
		Name: d.Name, Voters: c.Voters, Listen: c.Listen, Folder: c.Folder, Files: c.Files, Lease: c.Lease, Log: log,
	})
	if err != nil {
		return fmt.Errorf("the group: %w", err)
	}
	defer inst.Close()
	ln, err := net.Listen("tcp", d.Own.Listen)
	if err != nil {
		return fmt.Errorf("listening for nodes: %w", err)
	}
	defer ln.Close()
	r, err := configsync.NewRelay(configsync.RelayOptions{Voters: heardVoters{inst.Client, log}, Files: d.Files, Streams: d.Own.Streams, Folder: d.Own.Folder, Log: log})
	if err != nil {
		return err
	}
	defer r.Close()
	ended := make(chan error, 2)
	if d.Own.Status != "" {
		srv, err := serveStatus(d, r, ended)
		if err != nil {
			return err
		}
		defer srv.Close()
	}
	go func() { ended <- r.Serve(ln) }()
	log.Info("the relay serves", "relay", d.Name, "at", ln.Addr().String(), "status", d.Own.Status, "voter", c.Folder != "", "version", r.Status().Version)
	select {
	case err = <-ended:
	case <-ctx.Done():
		log.Info("the relay ends", "relay", d.Name, "streams", len(r.Status().Nodes))
	}
	return err
}

// heardVoters are the voters whom a relay follows. What is news of them is logged.
type heardVoters struct {
	*consensus.Client
	log *slog.Logger
}

// Config is the client's.
func (v heardVoters) Config(ctx context.Context, since uint64, wait time.Duration) (consensus.News, error) {
	n, err := v.Client.Config(ctx, since, wait)
	switch all := n.Changes; {
	case len(all) == 1 && len(all[0].Records) > 0:
		c := all[0]
		v.log.Info("a change of the configuration", "version", c.Version, "author", c.Author, "note", c.Note, "records", len(c.Records), "first", c.Records[0].Key, "reverts", c.Reverts)
	case len(all) > 0: // it was away, or they come fast
		v.log.Info("changes of the configuration", "from", all[0].Version, "to", all[len(all)-1].Version)
	case n.Forgotten:
		v.log.Info("the configuration is taken whole", "version", n.Version)
	}
	return n, err
}

// serveStatus tells operators how things stand with a relay.
func serveStatus(d *config.Distribution, r *configsync.Relay, ended chan<- error) (*http.Server, error) {
	t, err := d.Files.Load(configsync.RelayName)
	if err != nil {
		return nil, fmt.Errorf("the relay's status: %w", err)
	}
	ln, err := net.Listen("tcp", d.Own.Status)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, req *http.Request) {
		worst, err := strconv.Atoi(req.FormValue("worst"))
		if err != nil {
			http.Error(w, "worst: want a number", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report(r.Status(), time.Now(), worst))
	})
	srv := &http.Server{
		Handler: mux, TLSConfig: t, MaxHeaderBytes: 4 << 10, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
		ReadTimeout: statusWithin, WriteTimeout: statusWithin, IdleTimeout: statusWithin,
	}
	go func() {
		if err := srv.ServeTLS(netutil.LimitListener(ln, statusCalls), "", ""); !errors.Is(err, http.ErrServerClosed) {
			ended <- fmt.Errorf("the relay's status: %w", err)
		}
	}()
	return srv, nil
}

// relayReport is what a relay tells operators.
type relayReport struct {
	Version uint64        `json:"Version"`
	Digest  string        `json:"Digest"`
	Age     time.Duration `json:"Age"`           // since it was level with a majority of the voters; negative where it never was
	Why     string        `json:"Why,omitempty"` // it is not level
	// Streams is how many nodes it serves: those that have its version in force, those that have told an older
	// one, and those that have told none yet, as they have just come or look elsewhere too.
	Streams  int          `json:"Streams"`
	Level    int          `json:"Level"`
	Late     int          `json:"Late"`
	Silent   int          `json:"Silent"`
	Refusing int          `json:"Refusing"` // that have refused records since they started
	Worst    []nodeReport `json:"Worst,omitempty"`
}

// nodeReport is a node that is behind, or has refused something.
type nodeReport struct {
	Node    string `json:"Node"`
	Zone    string `json:"Zone"`
	Version uint64 `json:"Version"`           // in force, as it has told
	Behind  uint64 `json:"Behind"`            // versions
	Refused uint64 `json:"Refused,omitempty"` // changes
	Why     string `json:"Why"`
}

// report sums up a relay's nodes, and tells of the worst.
func report(s configsync.RelayStatus, now time.Time, worst int) relayReport {
	r := relayReport{Version: s.Version, Digest: fmt.Sprintf("%x", s.Digest[:8]), Age: s.Age, Why: s.Why, Streams: len(s.Nodes)}
	for _, n := range s.Nodes {
		one := nodeReport{Node: n.Name, Zone: n.Zone, Version: n.Told.Version, Refused: n.Told.Refused}
		one.Behind = s.Version - min(s.Version, n.Told.Version)
		var why []string
		switch {
		case one.Behind == 0:
			r.Level++
		case n.Told.Version == 0 && n.Sent == 0:
			r.Silent++
			why = append(why, fmt.Sprintf("has asked for nothing here in %v", now.Sub(n.Since).Round(time.Second)))
		case n.Sent < s.Version:
			r.Late++
			why = append(why, fmt.Sprintf("takes nothing more: it was sent up to version %d", n.Sent))
		default:
			r.Late++
			why = append(why, "was sent all, and has not said that it is in force")
		}
		if n.Told.Refused > 0 {
			r.Refusing++
			why = append(why, fmt.Sprintf("has refused records of %d changes, the last: %s", n.Told.Refused, n.Told.Why))
		}
		if one.Why = strings.Join(why, "; "); one.Why != "" {
			r.Worst = append(r.Worst, one)
		}
	}
	worstFirst(r.Worst)
	r.Worst = r.Worst[:min(len(r.Worst), max(0, worst), maxWorst)]
	return r
}

func worstFirst(all []nodeReport) {
	slices.SortFunc(all, func(a, b nodeReport) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.Node, b.Node))
	})
}

// relayTold is what one relay tells, or why it does not.
type relayTold struct {
	Name   string       `json:"Name"`
	Zone   string       `json:"Zone"`
	Region string       `json:"Region"`
	Behind uint64       `json:"Behind"` // versions behind what is agreed
	Error  string       `json:"Error,omitempty"`
	Told   *relayReport `json:"Told,omitempty"`
}

// distribution is how things stand with the configuration, as status tells of it.
type distribution struct {
	Version  uint64      `json:"Version"` // the newest
	Digest   string      `json:"Digest"`
	Majority bool        `json:"Majority"` // of the voters stands behind it
	Relays   []relayTold `json:"Relays"`
}

func (c *configCall) status(worst int) error {
	n, err := c.newest()
	if err != nil {
		return err
	}
	is := distribution{Version: n.Version, Digest: fmt.Sprintf("%x", n.Digest[:8]), Majority: n.Agreed, Relays: c.relays(worst)}
	for i := range is.Relays {
		if t := is.Relays[i].Told; t != nil { // a relay may have come further since
			is.Relays[i].Behind = n.Version - min(n.Version, t.Version)
		}
	}
	slices.SortStableFunc(is.Relays, func(a, b relayTold) int {
		if (a.Told == nil) != (b.Told == nil) {
			return map[bool]int{true: -1, false: 1}[a.Told == nil]
		}
		return cmp.Or(cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.Name, b.Name))
	})
	err = c.tell(is, func(w io.Writer) { is.show(w, worst) })
	if err == nil && !n.Agreed {
		err = errNoMajority
	}
	return err
}

func (d *distribution) show(out io.Writer, worst int) {
	fmt.Fprintf(out, "version %d, digest %s\n\n", d.Version, d.Digest)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RELAY\tZONE\tVERSION\tBEHIND\tAGE\tSTREAMS\tLEVEL\tLATE\tSILENT\tREFUSING\t")
	type of struct {
		nodeReport
		relay string
	}
	var nodes []of
	for _, r := range d.Relays {
		t := r.Told
		if t == nil {
			fmt.Fprintf(w, "%s\t%s%s%s\n", r.Name, r.Zone, strings.Repeat("\t", 9), strings.ReplaceAll(r.Error, "\n", " "))
			continue
		}
		age := "never level"
		if t.Age >= 0 {
			age = t.Age.Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Name, r.Zone, t.Version, r.Behind, age, t.Streams, t.Level, t.Late, t.Silent, t.Refusing, t.Why)
		for _, n := range t.Worst {
			nodes = append(nodes, of{n, r.Name})
		}
	}
	_ = w.Flush()
	if len(nodes) == 0 {
		return
	}
	slices.SortStableFunc(nodes, func(a, b of) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Behind, a.Behind))
	})
	fmt.Fprintln(out)
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tRELAY\tVERSION\tBEHIND\tWHY")
	for _, n := range nodes[:min(len(nodes), max(0, worst))] {
		fmt.Fprintf(w, "%q\t%q\t%s\t%d\t%d\t%s\n", n.Node, n.Zone, n.relay, n.Version, n.Behind, strings.ReplaceAll(n.Why, "\n", " "))
	}
	_ = w.Flush()
}

// relays asks all relays that the file lists.
func (c *configCall) relays(worst int) []relayTold {
	all := make([]relayTold, len(c.site.Relays))
	t, err := c.site.Files.Load(configsync.RelayName)
	client := &http.Client{Timeout: statusWithin, Transport: &http.Transport{TLSClientConfig: t}}
	defer client.CloseIdleConnections()
	var asked sync.WaitGroup
	for i, r := range c.site.Relays {
		all[i] = relayTold{Name: r.Name, Zone: r.Zone, Region: r.Region}
		switch {
		case err != nil:
			all[i].Error = err.Error()
		case r.Status == "":
			all[i].Error = "the file does not say where it tells its status"
		default:
			asked.Go(func() {
				told, err := askRelay(c.ctx, client, r.Status, worst)
				if err != nil {
					all[i].Error = err.Error()
					return
				}
				all[i].Told = told
			})
		}
	}
	asked.Wait()
	return all
}

func askRelay(ctx context.Context, client *http.Client, at string, worst int) (*relayReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("https://%s%s?worst=%d", at, statusPath, min(worst, maxWorst)), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("asking a relay: %w", err)
	}
	resp, err := client.Do(req)
	if at := (*url.Error)(nil); errors.As(err, &at) {
		err = at.Err // the address is told beside it
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return nil, fmt.Errorf("asking a relay: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers %s", at, resp.Status)
	}
	var r relayReport
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s answers what cannot be read: %w", at, err)
	}
	return &r, nil
}
