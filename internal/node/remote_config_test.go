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

// testSource is a group of three voters with two relays, which provides nodes with their configuration.
type testSource struct {
	t       *testing.T
	auth    *emulator.Authority
	client  *consensus.Client
	version uint64 // the newest version
	relays  []*configsync.Relay
	addrs   []string
	served  sync.WaitGroup
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
	source := &testSource{t: t, auth: check.Must[*emulator.Authority](t)(emulator.NewAuthority(dir))}
	addrs := map[string]string{"v0": check.UnusedAddr(t), "v1": check.UnusedAddr(t), "v2": check.UnusedAddr(t)}
	var voters []string
	for name, at := range addrs {
		if err := consensus.Bootstrap(filepath.Join(dir, name), name, addrs); err != nil {
			t.Fatal(err)
		}
		v := check.Must[*consensus.Voter](t)(consensus.Start(consensus.Options{Listen: at, Dir: filepath.Join(dir, name), Files: source.files(consensus.VoterName), Log: log}))
		t.Cleanup(v.Close)
		voters = append(voters, at)
	}
	client := func() *consensus.Client {
		c := check.Must[*consensus.Client](t)(consensus.NewClient(voters, source.files("client")))
		t.Cleanup(c.Close)
		return c
	}
	source.client = client()
	for range 2 {
		r := check.Must[*configsync.Relay](t)(configsync.NewRelay(configsync.RelayOptions{Voters: client(), Files: source.files(configsync.RelayName), Log: log}))
		ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
		source.relays, source.addrs = append(source.relays, r), append(source.addrs, ln.Addr().String())
		source.served.Go(func() {
			if err := r.Serve(ln); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(source.closeRelays)
	return source
}

// closeRelays stops the relays.
func (s *testSource) closeRelays() {
	for _, r := range s.relays {
		r.Close()
	}
	s.served.Wait()
}

// propose proposes a change and waits until the voters have agreed on it.
func (s *testSource) propose(records ...configlog.Record) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), check.Timeout)
	defer cancel()
	var err error
	if s.version, err = s.client.Propose(ctx, configlog.Change{BaseVersion: s.version, Author: "test", Records: records}); err != nil {
		s.t.Fatal(err)
	}
}

// fileText returns the file of a node that follows the relays.
func (s *testSource) fileText(name, folder, more string) string {
	f := s.files("node")
	text := fmt.Sprintf("[node]\nname = %q\nlisten = [\"127.0.0.1:0\"]\n[limits]\nmemory = \"64MB\"\ndescriptors = 512\n%s\n[config]\nfolder = %q\ncertificate = %q\nkey = %q\nauthorities = %q\n",
		name, more, folder, f.Certificate, f.Key, f.Authorities)
	for _, at := range s.addrs {
		text += fmt.Sprintf("[[config.relay]]\naddress = %q\n", at)
	}
	return text
}

// parseRecords returns the records of pools and services in a file's text.
func parseRecords(t *testing.T, text string) []configlog.Record {
	t.Helper()
	return check.Must[[]configlog.Record](t)(config.Records("test.toml", []byte(text)))
}

// startOnly starts a node without waiting until it serves, since it may have no configuration yet.
func (n *testNode) startOnly() {
	n.t.Helper()
	n.node = check.Must[*Node](n.t)(Start(File{Path: n.file}, slog.New(slog.NewTextHandler(n.logged, nil))))
	n.addr = n.node.Addrs()[0]
	var ctx context.Context
	ctx, n.term = context.WithCancel(context.Background())
	go func() { n.ended <- n.node.Run(ctx, n.hup) }()
	n.t.Cleanup(n.stop)
}

// metricsText returns the metrics as the admin server writes them.
func (n *testNode) metricsText() string {
	n.t.Helper()
	var b bytes.Buffer
	if err := (operator{n.node}).Metrics(&b); err != nil {
		n.t.Fatal(err)
	}
	return b.String()
}

// awaitMetric waits until the metrics contain a line.
func (n *testNode) awaitMetric(line string) {
	n.t.Helper()
	check.Eventually(n.t, line, func() bool { return slices.Contains(strings.Split(n.metricsText(), "\n"), line) })
}

// TestConfigurationFromRelays starts two nodes whose files define no services. They wait for the first
// configuration, apply it and each change, reject a record that they cannot use and no other, reload
// their own files, and start again from their copies while no relay runs.
func TestConfigurationFromRelays(t *testing.T) {
	source := newSource(t)
	one, two := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
	var nodes []*testNode
	for i := range 2 {
		n := newFileNode(t, source.fileText(fmt.Sprint("n", i), filepath.Join(t.TempDir(), "copy"), ""))
		n.startOnly()
		if err := (operator{n.node}).Ready(); !errors.Is(err, errNoVersion) {
			t.Errorf("Ready returned %v before there is a configuration, want errNoVersion", err)
		}
		n.awaitMetric("config_version=0")
		nodes = append(nodes, n)
	}
	asked := 0
	checkAll := func(service string, by *emulator.ScriptedServer, line ...string) {
		t.Helper()
		for _, n := range nodes {
			for _, l := range line {
				n.awaitMetric(l)
			}
			before := by.Received.Load()
			asked++
			if status, body, _ := n.roundTripOnce(forHost(service, lookRequest(fmt.Sprint("ask", asked)))); status != 200 || by.Received.Load() != before+1 {
				t.Errorf("%s, request %d: the answer is %d %q, and its server got %d requests; want 200 and 1", service, asked, status, body, by.Received.Load()-before)
			}
			if err := (operator{n.node}).Ready(); err != nil {
				t.Error(err)
			}
		}
	}
	source.propose(parseRecords(t, serviceText("orders", "")+poolText("orders", "", one.Addr))...)
	checkAll("orders", one, "config_version=1", "config_refused=0")
	source.propose(parseRecords(t, serviceText("orders", "")+poolText("orders", "", two.Addr))[0])
	checkAll("orders", two, "config_version=2")

	// One change has a pool that no node can use, and a service that they can.
	source.propose(append(parseRecords(t, serviceText("stock", "")+poolText("stock", "", one.Addr)), configlog.Record{Key: "pool/orders", Value: []byte(`{"share":3}`)})...)
	checkAll("orders", two, "config_version=3", "config_refused=1")
	checkAll("stock", one)
	for _, n := range nodes {
		if text := n.logged.String(); !strings.Contains(text, "pool/orders: share is 3") || !strings.Contains(text, `msg="configuration applied" version=3 records=4 refused=1`) {
			t.Errorf("the rejection is not logged; the log is %s", text)
		}
	}
	source.propose(parseRecords(t, serviceText("late", "")+poolText("late", "", two.Addr))...)
	checkAll("late", two, "config_version=4", "config_refused=1")
	source.propose(parseRecords(t, serviceText("orders", "")+poolText("orders", "", one.Addr))[0])
	checkAll("orders", one, "config_version=5", "config_refused=0")

	// The node's own file is reloaded as before, and defines no services.
	n := nodes[0]
	folder := n.node.cfg.Remote.Directory
	n.reloadFile(source.fileText("n0", folder, "cores = 2.0"))
	checkAll("orders", one)
	n.writeText(nodeText + serviceText("own", "") + poolText("own", "", two.Addr))
	n.reload()
	check.Eventually(t, "a file with services is rejected", func() bool { return strings.Contains(n.logged.String(), "[config] was added or removed") })
	checkAll("orders", one)

	source.closeRelays()
	n.term()
	n.awaitEnd()
	again := newFileNode(t, source.fileText("n0", folder, ""))
	again.startOnly()
	nodes = []*testNode{again}
	checkAll("orders", one, "config_version=5", "config_refused=0", "config_level=0")
	checkAll("late", two)
}

// TestConfigurationWithTooFewDescriptors proposes a change that needs more descriptors than there are:
// it changes nothing and blocks no other change, and it is applied once there are enough.
func TestConfigurationWithTooFewDescriptors(t *testing.T) {
	source := newSource(t)
	one := check.ScriptedServer(t, emulator.Echo)
	n := newFileNode(t, source.fileText("n0", filepath.Join(t.TempDir(), "copy"), ""))
	n.startOnly()
	source.propose(parseRecords(t, serviceText("orders", "")+poolText("orders", "", one.Addr))...)
	n.awaitMetric("config_version=1")
	var many strings.Builder
	for i := range 500 {
		many.WriteString(poolText(fmt.Sprint("p", i), `discovery = "127.0.0.1:1"`))
	}
	source.propose(parseRecords(t, many.String())...)
	check.Eventually(t, "the log reports why", func() bool { return strings.Contains(n.logged.String(), "descriptors are too few") })
	if status, body, _ := n.roundTripOnce(forHost("orders", lookRequest("x"))); status != 200 || n.node.services.Pool("p1") != nil {
		t.Errorf("orders: the answer is %d %q, want 200 from a node without pool p1", status, body)
	}
	n.awaitMetric("config_refused=500")
	source.propose(parseRecords(t, serviceText("late", "")+poolText("late", "", one.Addr))...)
	n.awaitMetric("config_version=3")
	n.awaitMetric("config_refused=500")
	if status, body, _ := n.roundTripOnce(forHost("late", lookRequest("y"))); status != 200 {
		t.Errorf("late: the answer is %d %q, want 200", status, body)
	}
	text := source.fileText("n0", n.node.cfg.Remote.Directory, "")
	n.reloadFile(strings.NewReplacer("512", "2048", "64MB", "128MB").Replace(text))
	n.awaitMetric("config_refused=0")
	if n.node.services.Pool("p1") == nil {
		t.Error("with enough descriptors the change is not applied")
	}
}
