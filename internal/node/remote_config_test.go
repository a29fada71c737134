package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
	"jasperpin/internal/configsync"
	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/mtls"
)

// testSource is a group of three voters with two relays, from which nodes have their configuration.
type testSource struct {
	t      *testing.T
	auth   *emulator.Authority
	client *consensus.Client
	base   uint64 // the newest version
	relays []*configsync.Relay
	at     []string
	served sync.WaitGroup
}

func (s *testSource) files(name string) mtls.Files {
	s.t.Helper()
	cert, key, err := s.auth.Issue(name)
	if err != nil {
		s.t.Fatal(err)
	}
	return mtls.Files{Certificate: cert, Key: key, Authorities: s.auth.File}
}

func newSource(t *testing.T) *testSource {
	t.Helper()
	dir, log := t.TempDir(), slog.New(slog.DiscardHandler)
	s := &testSource{t: t, auth: check.Must[*emulator.Authority](t)(emulator.NewAuthority(dir))}
	addrs := map[string]string{"v0": check.UnusedAddr(t), "v1": check.UnusedAddr(t), "v2": check.UnusedAddr(t)}
	var voters []string
	for name, at := range addrs {
		if err := consensus.Bootstrap(filepath.Join(dir, name), name, addrs); err != nil {
			t.Fatal(err)
		}
		v := check.Must[*consensus.Voter](t)(consensus.Start(consensus.Options{Listen: at, Dir: filepath.Join(dir, name), Files: s.files(consensus.VoterName), Log: log}))
		t.Cleanup(v.Close)
		voters = append(voters, at)
	}
	client := func() *consensus.Client {
		c := check.Must[*consensus.Client](t)(consensus.NewClient(voters, s.files("client")))
		t.Cleanup(c.Close)
		return c
	}
	s.client = client()
	for range 2 {
		r := check.Must[*configsync.Relay](t)(configsync.NewRelay(configsync.RelayOptions{Voters: client(), Files: s.files(configsync.RelayName), Log: log}))
		ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
		s.relays, s.at = append(s.relays, r), append(s.at, ln.Addr().String())
		s.served.Go(func() {
			if err := r.Serve(ln); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(s.closeRelays)
	return s
}

// closeRelays ends the relays.
func (s *testSource) closeRelays() {
	for _, r := range s.relays {
		r.Close()
	}
	s.served.Wait()
}

// propose has a change agreed on.
func (s *testSource) propose(records ...configlog.Record) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), check.Soon)
	defer cancel()
	var err error
	if s.base, err = s.client.Propose(ctx, configlog.Change{BaseVersion: s.base, Author: "test", Records: records}); err != nil {
		s.t.Fatal(err)
	}
}

// fileText returns the file of a node that follows the relays.
func (s *testSource) fileText(name, folder, more string) string {
	f := s.files("node")
	text := fmt.Sprintf("[node]\nname = %q\nlisten = [\"127.0.0.1:0\"]\n[limits]\nmemory = \"64MB\"\ndescriptors = 512\n%s\n[config]\nfolder = %q\ncertificate = %q\nkey = %q\nauthorities = %q\n",
		name, more, folder, f.Certificate, f.Key, f.Authorities)
	for _, at := range s.at {
		text += fmt.Sprintf("[[config.relay]]\naddress = %q\n", at)
	}
	return text
}

// parseRecords returns the records of pools and services in a file's text.
func parseRecords(t *testing.T, text string) []configlog.Record {
	t.Helper()
	return check.Must[[]configlog.Record](t)(config.Records("test.toml", []byte(text)))
}

// startOnly starts a node that may have no configuration yet.
func (n *testNode) startOnly() {
	n.t.Helper()
	n.node = check.Must[*Node](n.t)(Start(File{Path: n.file}, slog.New(slog.NewTextHandler(n.logged, nil))))
	n.addr = n.node.Addrs()[0]
	var ctx context.Context
	ctx, n.term = context.WithCancel(context.Background())
	go func() { n.ended <- n.node.Run(ctx, n.hup) }()
	n.t.Cleanup(n.stop)
}

// metricsText returns the metrics as the admin server does.
func (n *testNode) metricsText() string {
	n.t.Helper()
	var b bytes.Buffer
	if err := (operator{n.node}).Metrics(&b); err != nil {
		n.t.Fatal(err)
	}
	return b.String()
}

// awaitMetric waits until the metrics have a line.
func (n *testNode) awaitMetric(line string) {
	n.t.Helper()
	check.Eventually(n.t, line, func() bool { return slices.Contains(strings.Split(n.metricsText(), "\n"), line) })
}

// TestConfigurationFromRelays starts two nodes without a service in their files. They wait for the
// first configuration, serve by it and by each change, reject a record that they cannot use and no
// other, reload their own files, and start again from their copies when no relay is up.
func TestConfigurationFromRelays(t *testing.T) {
	s := newSource(t)
	one, two := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
	var nodes []*testNode
	for i := range 2 {
		n := newFileNode(t, s.fileText(fmt.Sprint("n", i), filepath.Join(t.TempDir(), "copy"), ""))
		n.startOnly()
		if err := (operator{n.node}).Ready(); !errors.Is(err, errNoVersion) {
			t.Errorf("ready before there is a configuration: %v", err)
		}
		n.awaitMetric("config_version=0")
		nodes = append(nodes, n)
	}
	asked := 0
	all := func(service string, by *emulator.ScriptedServer, line ...string) {
		t.Helper()
		for _, n := range nodes {
			for _, l := range line {
				n.awaitMetric(l)
			}
			was := by.Received.Load()
			asked++
			if status, body, _ := n.roundTripOnce(forHost(service, lookRequest(fmt.Sprint("ask", asked)))); status != 200 || by.Received.Load() != was+1 {
				t.Errorf("%s, request %d: %d %q, of %d that its server got", service, asked, status, body, by.Received.Load()-was)
			}
			if err := (operator{n.node}).Ready(); err != nil {
				t.Error(err)
			}
		}
	}
	s.propose(parseRecords(t, serviceText("orders", "")+poolText("orders", "", one.Addr))...)
	all("orders", one, "config_version=1", "config_refused=0")
	s.propose(parseRecords(t, serviceText("orders", "")+poolText("orders", "", two.Addr))[0])
	all("orders", two, "config_version=2")

	// A pool that no node can use stands in one change with a service that they can.
	s.propose(append(parseRecords(t, serviceText("stock", "")+poolText("stock", "", one.Addr)), configlog.Record{Key: "pool/orders", Value: []byte(`{"share":3}`)})...)
	all("orders", two, "config_version=3", "config_refused=1")
	all("stock", one)
	for _, n := range nodes {
		if text := n.logged.String(); !strings.Contains(text, "pool/orders: share is 3") || !strings.Contains(text, `msg="configuration in force" version=3 records=4 refused=1`) {
			t.Errorf("the rejection is not logged: %s", text)
		}
	}
	s.propose(parseRecords(t, serviceText("late", "")+poolText("late", "", two.Addr))...)
	all("late", two, "config_version=4", "config_refused=1")
	s.propose(parseRecords(t, serviceText("orders", "")+poolText("orders", "", one.Addr))[0])
	all("orders", one, "config_version=5", "config_refused=0")

	// The node's own file is read as ever, and says nothing of services.
	n := nodes[0]
	folder := n.node.cfg.Remote.Directory
	n.reloadFile(s.fileText("n0", folder, "cores = 2.0"))
	all("orders", one)
	n.writeText(nodeText + serviceText("own", "") + poolText("own", "", two.Addr))
	n.reload()
	check.Eventually(t, "a file with services is rejected", func() bool { return strings.Contains(n.logged.String(), "[config] comes or goes") })
	all("orders", one)

	s.closeRelays()
	n.term()
	n.awaitEnd()
	again := newFileNode(t, s.fileText("n0", folder, ""))
	again.startOnly()
	nodes = []*testNode{again}
	all("orders", one, "config_version=5", "config_refused=0", "config_level=0")
	all("late", two)
}

// TestConfigurationWithTooFewDescriptors has a change need more descriptors than there are: it
// changes nothing and stops no other change, and is in force as soon as there are enough.
func TestConfigurationWithTooFewDescriptors(t *testing.T) {
	s := newSource(t)
	one := check.ScriptedServer(t, emulator.Echo)
	n := newFileNode(t, s.fileText("n0", filepath.Join(t.TempDir(), "copy"), ""))
	n.startOnly()
	s.propose(parseRecords(t, serviceText("orders", "")+poolText("orders", "", one.Addr))...)
	n.awaitMetric("config_version=1")
	var many strings.Builder
	for i := range 500 {
		many.WriteString(poolText(fmt.Sprint("p", i), `discovery = "127.0.0.1:1"`))
	}
	s.propose(parseRecords(t, many.String())...)
	check.Eventually(t, "the log says why", func() bool { return strings.Contains(n.logged.String(), "descriptors are too few") })
	if status, body, _ := n.roundTripOnce(forHost("orders", lookRequest("x"))); status != 200 || n.node.services.Pool("p1") != nil {
		t.Errorf("%d %q", status, body)
	}
	n.awaitMetric("config_refused=500")
	s.propose(parseRecords(t, serviceText("late", "")+poolText("late", "", one.Addr))...)
	n.awaitMetric("config_version=3")
	n.awaitMetric("config_refused=500")
	if status, body, _ := n.roundTripOnce(forHost("late", lookRequest("y"))); status != 200 {
		t.Errorf("%d %q", status, body)
	}
	text := s.fileText("n0", n.node.cfg.Remote.Directory, "")
	n.reloadFile(strings.NewReplacer("512", "2048", "64MB", "128MB").Replace(text))
	n.awaitMetric("config_refused=0")
	if n.node.services.Pool("p1") == nil {
		t.Error("with room for it, it is not in force")
	}
}
