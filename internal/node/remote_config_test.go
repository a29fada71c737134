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

// source is a group of three voters with two relays, from which nodes have their configuration.
type source struct {
	t      *testing.T
	auth   *emulator.Authority
	client *consensus.Client
	base   uint64 // the newest version
	relays []*configsync.Relay
	at     []string
	served sync.WaitGroup
}

func (s *source) files(name string) mtls.Files {
	s.t.Helper()
	cert, key, err := s.auth.Issue(name)
	if err != nil {
		s.t.Fatal(err)
	}
	return mtls.Files{Certificate: cert, Key: key, Authorities: s.auth.File}
}

func newSource(t *testing.T) *source {
	t.Helper()
	dir, log := t.TempDir(), slog.New(slog.DiscardHandler)
	s := &source{t: t, auth: check.Must[*emulator.Authority](t)(emulator.NewAuthority(dir))}
	addrs := map[string]string{"v0": check.Unused(t), "v1": check.Unused(t), "v2": check.Unused(t)}
	var voters []string
	for name, at := range addrs {
		if err := consensus.Begin(filepath.Join(dir, name), name, addrs); err != nil {
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
	t.Cleanup(s.shut)
	return s
}

// shut ends the relays.
func (s *source) shut() {
	for _, r := range s.relays {
		r.Close()
	}
	s.served.Wait()
}

// propose has a change agreed on.
func (s *source) propose(records ...configlog.Record) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), check.Soon)
	defer cancel()
	var err error
	if s.base, err = s.client.Propose(ctx, configlog.Change{Base: s.base, Author: "test", Records: records}); err != nil {
		s.t.Fatal(err)
	}
}

// text is the file of a node that follows the relays.
func (s *source) text(name, folder, more string) string {
	f := s.files("node")
	text := fmt.Sprintf("[node]\nname = %q\nlisten = [\"127.0.0.1:0\"]\n[limits]\nmemory = \"64MB\"\ndescriptors = 512\n%s\n[config]\nfolder = %q\ncertificate = %q\nkey = %q\nauthorities = %q\n",
		name, more, folder, f.Certificate, f.Key, f.Authorities)
	for _, at := range s.at {
		text += fmt.Sprintf("[[config.relay]]\naddress = %q\n", at)
	}
	return text
}

// recordsOf are the records of pools and services in the file's words.
func recordsOf(t *testing.T, text string) []configlog.Record {
	t.Helper()
	return check.Must[[]configlog.Record](t)(config.Records("test.toml", []byte(text)))
}

// start runs a node that may have no configuration yet.
func (n *testNode) start() {
	n.t.Helper()
	n.node = check.Must[*Node](n.t)(Start(File{Path: n.file}, slog.New(slog.NewTextHandler(n.logged, nil))))
	n.addr = n.node.Addrs()[0]
	var ctx context.Context
	ctx, n.term = context.WithCancel(context.Background())
	go func() { n.ended <- n.node.Run(ctx, n.hup) }()
	n.t.Cleanup(n.stop)
}

// figures are what the door tells.
func (n *testNode) figures() string {
	n.t.Helper()
	var b bytes.Buffer
	if err := (operator{n.node}).Metrics(&b); err != nil {
		n.t.Fatal(err)
	}
	return b.String()
}

// has waits until the door tells a line.
func (n *testNode) has(line string) {
	n.t.Helper()
	check.Eventually(n.t, line, func() bool { return slices.Contains(strings.Split(n.figures(), "\n"), line) })
}

// TestConfigurationFromRelays starts two nodes without a service in their files. They wait for the
// first configuration, serve by it and by each change, reject a record that they cannot use and no
// other, reload their own files, and start again from their copies when no relay is up.
func TestConfigurationFromRelays(t *testing.T) {
	s := newSource(t)
	one, two := check.Raw(t, emulator.Echo), check.Raw(t, emulator.Echo)
	var nodes []*testNode
	for i := range 2 {
		n := byFile(t, s.text(fmt.Sprint("n", i), filepath.Join(t.TempDir(), "copy"), ""))
		n.start()
		if err := (operator{n.node}).Ready(); !errors.Is(err, errNoVersion) {
			t.Errorf("ready before there is a configuration: %v", err)
		}
		n.has("config_version=0")
		nodes = append(nodes, n)
	}
	asked := 0
	all := func(service string, by *emulator.Raw, line ...string) {
		t.Helper()
		for _, n := range nodes {
			for _, l := range line {
				n.has(l)
			}
			was := by.Got.Load()
			asked++
			if status, body, _ := n.once(at(service, look(fmt.Sprint("ask", asked)))); status != 200 || by.Got.Load() != was+1 {
				t.Errorf("%s, request %d: %d %q, of %d that its server got", service, asked, status, body, by.Got.Load()-was)
			}
			if err := (operator{n.node}).Ready(); err != nil {
				t.Error(err)
			}
		}
	}
	s.propose(recordsOf(t, svc("orders", "")+pool("orders", "", one.Addr))...)
	all("orders", one, "config_version=1", "config_refused=0")
	s.propose(recordsOf(t, svc("orders", "")+pool("orders", "", two.Addr))[0])
	all("orders", two, "config_version=2")

	// A pool that no node can use stands in one change with a service that they can.
	s.propose(append(recordsOf(t, svc("stock", "")+pool("stock", "", one.Addr)), configlog.Record{Key: "pool/orders", Value: []byte(`{"share":3}`)})...)
	all("orders", two, "config_version=3", "config_refused=1")
	all("stock", one)
	for _, n := range nodes {
		if text := n.logged.String(); !strings.Contains(text, "pool/orders: share is 3") || !strings.Contains(text, `msg="configuration in force" version=3 records=4 refused=1`) {
			t.Errorf("the refusal is not told: %s", text)
		}
	}
	s.propose(recordsOf(t, svc("late", "")+pool("late", "", two.Addr))...)
	all("late", two, "config_version=4", "config_refused=1")
	s.propose(recordsOf(t, svc("orders", "")+pool("orders", "", one.Addr))[0])
	all("orders", one, "config_version=5", "config_refused=0")

	// The node's own file is read as ever, and says nothing of services.
	n := nodes[0]
	folder := n.node.cfg.Remote.Folder
	n.reloadedWhole(s.text("n0", folder, "cores = 2.0"))
	all("orders", one)
	n.writeText(nodeText + svc("own", "") + pool("own", "", two.Addr))
	n.reload()
	check.Eventually(t, "a file with services is refused", func() bool { return strings.Contains(n.logged.String(), "[config] comes or goes") })
	all("orders", one)

	s.shut()
	n.term()
	n.gone()
	again := byFile(t, s.text("n0", folder, ""))
	again.start()
	nodes = []*testNode{again}
	all("orders", one, "config_version=5", "config_refused=0", "config_level=0")
	all("late", two)
}

// TestConfigurationWithTooFewDescriptors has a change need more descriptors than there are: it
// changes nothing and stops no other change, and is in force as soon as there are enough.
func TestConfigurationWithTooFewDescriptors(t *testing.T) {
	s := newSource(t)
	one := check.Raw(t, emulator.Echo)
	n := byFile(t, s.text("n0", filepath.Join(t.TempDir(), "copy"), ""))
	n.start()
	s.propose(recordsOf(t, svc("orders", "")+pool("orders", "", one.Addr))...)
	n.has("config_version=1")
	var many strings.Builder
	for i := range 500 {
		many.WriteString(pool(fmt.Sprint("p", i), `discovery = "127.0.0.1:1"`))
	}
	s.propose(recordsOf(t, many.String())...)
	check.Eventually(t, "it is told", func() bool { return strings.Contains(n.logged.String(), "descriptors are too few") })
	if status, body, _ := n.once(at("orders", look("x"))); status != 200 || n.node.services.Pool("p1") != nil {
		t.Errorf("%d %q", status, body)
	}
	n.has("config_refused=500")
	s.propose(recordsOf(t, svc("late", "")+pool("late", "", one.Addr))...)
	n.has("config_version=3")
	n.has("config_refused=500")
	if status, body, _ := n.once(at("late", look("y"))); status != 200 {
		t.Errorf("%d %q", status, body)
	}
	text := s.text("n0", n.node.cfg.Remote.Folder, "")
	n.reloadedWhole(strings.NewReplacer("512", "2048", "64MB", "128MB").Replace(text))
	n.has("config_refused=0")
	if n.node.services.Pool("p1") == nil {
		t.Error("with room for it, it is not in force")
	}
}
