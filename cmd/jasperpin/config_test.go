package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"jasperpin/internal/admin"
	"jasperpin/internal/config"
	"jasperpin/internal/configdiff"
	"jasperpin/internal/configlog"
	"jasperpin/internal/configsync"
	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/mtls"
)

// configSite is three voters, two of them relays too, as the command line runs them, and operators' files.
type configSite struct {
	t      *testing.T
	dir    string
	auth   *emulator.Authority
	voters map[string]string
	relays []configsync.RelayAddress
	status map[string]string
	log    *check.Log
	stops  map[string]func() error
}

func (s *configSite) certificate(name string) mtls.Files {
	s.t.Helper()
	cert, key, err := s.auth.Issue(name)
	if err != nil {
		s.t.Fatal(err)
	}
	return mtls.Files{Certificate: cert, Key: key, Authorities: s.auth.File}
}

func (s *configSite) writeFile(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// newConfigSite begins a group of three voters, and starts it.
func newConfigSite(t *testing.T) *configSite {
	t.Helper()
	s := &configSite{t: t, dir: t.TempDir(), voters: make(map[string]string), status: make(map[string]string), log: &check.Log{}, stops: make(map[string]func() error)}
	s.auth = check.Must[*emulator.Authority](t)(emulator.NewAuthority(s.dir))
	var all []string
	list := ""
	for _, name := range []string{"a", "b", "c"} {
		s.voters[name] = check.UnusedAddr(t)
		all = append(all, `"`+s.voters[name]+`"`)
	}
	for _, name := range []string{"a", "b"} {
		at := configsync.RelayAddress{Peer: configlog.Peer{Name: name, Zone: "zone-" + name}, Addr: check.UnusedAddr(t)}
		s.relays, s.status[name] = append(s.relays, at), check.UnusedAddr(t)
		list += fmt.Sprintf("[[config.relay]]\nname = %q\nzone = %q\naddress = %q\nstatus = %q\n", name, at.Zone, at.Addr, s.status[name])
	}
	file := func(name, own, ownRelay string) string {
		f, r := s.certificate(consensus.VoterName), s.certificate(configsync.RelayName)
		return s.writeFile(name+".toml", fmt.Sprintf("[node]\nname = %q\n[cluster]\nvoters = [%s]\ncertificate = %q\nkey = %q\nauthorities = %q\n%s[config]\ncertificate = %q\nkey = %q\nauthorities = %q\n%s%s",
			name, strings.Join(all, ", "), f.Certificate, f.Key, f.Authorities, own, r.Certificate, r.Key, r.Authorities, ownRelay, list))
	}
	file("ops", "", "")
	for _, name := range []string{"a", "b", "c"} {
		folder := filepath.Join(s.dir, "group-"+name)
		if err := consensus.Bootstrap(folder, name, s.voters); err != nil {
			t.Fatal(err)
		}
		if name == "c" {
			v := check.Must[*consensus.Voter](t)(consensus.Start(consensus.Options{Listen: s.voters[name], Dir: folder, Files: s.certificate(consensus.VoterName), Log: slog.New(slog.NewTextHandler(s.log, nil))}))
			t.Cleanup(v.Close)
			continue
		}
		i := slices.IndexFunc(s.relays, func(r configsync.RelayAddress) bool { return r.Name == name })
		path := file(name, fmt.Sprintf("listen = %q\nfolder = \"group-%s\"\n", s.voters[name], name),
			fmt.Sprintf("listen = %q\nstatus = %q\nfolder = \"copy-%s\"\n", s.relays[i].Addr, s.status[name], name))
		s.startRelay(name, path)
	}
	s.awaitStatus("the voters agree on nothing, and both relays know", func(d *distributionStatus) bool {
		both := d.Majority && d.Version == 0
		for _, r := range d.Relays {
			both = both && r.Report != nil && r.Report.Age >= 0
		}
		return both
	})
	return s
}

// startRelay runs a relay until its stop is called, which returns its error: one in this process,
// the other as a process that SIGTERM ends.
func (s *configSite) startRelay(name, path string) {
	if name == "b" {
		program := testbed.Program{Path: os.Args[0], Env: []string{"JASPERPIN_TEST_MAIN=1"}}
		p := check.Must[*testbed.Process](s.t)(program.Start(s.dir, name, "config", "relay", "-c", path))
		s.stops[name] = sync.OnceValue(p.Terminate)
		s.stopAtCleanup(name)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		cmd := rootCommand()
		cmd.SetErr(s.log)
		cmd.SetArgs([]string{"config", "relay", "-c", path})
		ended <- cmd.ExecuteContext(ctx)
	}()
	s.stops[name] = sync.OnceValue(func() error {
		cancel()
		return <-ended
	})
	s.stopAtCleanup(name)
}

func (s *configSite) stopAtCleanup(name string) {
	s.t.Cleanup(func() {
		if err := s.stops[name](); err != nil {
			s.t.Errorf("relay %s: %v", name, err)
		}
	})
}

// runJSON is one call by an operator, whose JSON goes to out.
func (s *configSite) runJSON(out any, words ...string) error {
	text, err := s.runCommand(append(words, "--json")...)
	if err == nil && out != nil {
		if err := json.Unmarshal([]byte(text), out); err != nil {
			s.t.Fatalf("%q: %v", text, err)
		}
	}
	return err
}

// runCommand runs a command of config, and returns what it prints.
func (s *configSite) runCommand(words ...string) (string, error) {
	cmd := rootCommand()
	var b bytes.Buffer
	cmd.SetOut(&b)
	cmd.SetErr(s.log)
	cmd.SetArgs(append(append([]string{"config"}, words...), "-c", filepath.Join(s.dir, "ops.toml")))
	err := cmd.ExecuteContext(s.t.Context())
	return b.String(), err
}

// checkFails checks that a command fails with an exit code and an error, and that nothing is agreed
// on by it.
func (s *configSite) checkFails(code int, want string, words ...string) {
	s.t.Helper()
	var was, is distributionStatus
	_ = s.runJSON(&was, "status")
	err := s.runJSON(nil, words...)
	if err == nil || exitCode(err) != code || !strings.Contains(err.Error(), want) {
		s.t.Errorf("%q: exit %d, %v; want %d and %q", words, exitCode(err), err, code, want)
	}
	if _ = s.runJSON(&is, "status"); is.Version != was.Version || is.Digest != was.Digest {
		s.t.Errorf("%q: version %d after %d", words, is.Version, was.Version)
	}
}

// checkAgrees checks that a command comes to a version.
func (s *configSite) checkAgrees(version uint64, words ...string) (is changeResult) {
	s.t.Helper()
	if err := s.runJSON(&is, words...); err != nil || len(is.Versions) != 1 || is.Versions[0] != version {
		s.t.Fatalf("%q: %+v, %v; want version %d", words, is, err, version)
	}
	return is
}

// awaitStatus waits until the status is as wanted.
func (s *configSite) awaitStatus(what string, ok func(d *distributionStatus) bool) {
	s.t.Helper()
	check.Eventually(s.t, what, func() bool {
		var d distributionStatus
		return s.runJSON(&d, "status") == nil && ok(&d)
	})
}

// servicesText returns an operator's file with two pools of so many attempts.
func servicesText(attempts, other int) string {
	text := `[[service]]
name = "s"
[[service.route]]
name = "all"
pool = "p"
`
	for i, n := range []int{attempts, other} {
		text += fmt.Sprintf(`[[pool]]
name = %q
attempts = %d
servers = ["127.0.0.1:1"]
[[pool.class]]
name = "look"
repeat = "safe"
`, "pq"[i:i+1], n)
	}
	return text
}

// TestConfigCommands changes what three voters agree on: by files and by records, by two operators
// at once, with mistakes, and back.
func TestConfigCommands(t *testing.T) {
	t.Parallel()
	s := newConfigSite(t)
	first := s.writeFile("first.toml", servicesText(1, 1))
	if is := s.checkAgrees(1, "propose", first, "--author", "ann", "--note", "to begin with"); is.New != 4 || is.Base != 0 {
		t.Errorf("got %+v, want 4 new records", is)
	}
	var none changeResult
	if err := s.runJSON(&none, "propose", first); err != nil || len(none.Versions) != 0 {
		t.Errorf("the same again: %+v, %v", none, err)
	}

	second := s.writeFile("second.toml", servicesText(2, 1))
	var differs struct{ Edits []editEntry }
	if err := s.runJSON(&differs, "diff", second); err != nil || len(differs.Edits) != 1 || differs.Edits[0].Key != "pool/p" || len(differs.Edits[0].Fields) != 1 {
		t.Errorf("got %+v, %v", differs, err)
	}
	if text, err := s.runCommand("diff", second); err != nil || text != "~ pool/p\n    attempts: 1 -> 2\n1 records differ from version 1\n" {
		t.Errorf("got %q, %v", text, err)
	}

	s.checkFails(1, "bad.toml:8: attempts is 99", "propose", s.writeFile("bad.toml", strings.Replace(servicesText(7, 7), "attempts = 7", "attempts = 99", 1)))
	s.checkFails(1, "has no pool and no service", "propose", s.writeFile("empty.toml", "[node]\nname = \"n\"\nlisten = [\"127.0.0.1:0\"]\n"))
	s.checkFails(1, "pool/p: attempts is 99", "put", "pool/p", s.writeFile("bad.pool", "attempts = 99\n"))
	s.checkFails(1, "not.pool:2: invalid TOML", "put", "pool/p", s.writeFile("not.pool", "attempts = 1\nattempts\n"))
	s.checkFails(1, "no key", "put", "pond/p", s.writeFile("good.pool", "attempts = 1\n"))
	s.checkFails(1, "pool/p: cannot be deleted while service/s/route/all leads to it", "delete", "pool/p")
	s.checkFails(1, "pool/none: is not there", "delete", "pool/none")
	s.checkFails(1, "the newest version is 1", "propose", second, "--base", "2")

	// Ann and Ben have read version 1. What only one of them has touched stays.
	s.checkAgrees(2, "propose", second, "--author", "ann", "--base", "1")
	s.checkFails(2, `pool/p was changed at version 2 by "ann"`, "propose", s.writeFile("ben.toml", servicesText(3, 1)), "--author", "ben", "--base", "1")
	if is := s.checkAgrees(3, "propose", s.writeFile("ben.toml", servicesText(1, 5)), "--author", "ben", "--base", "1"); is.Changed != 1 {
		t.Errorf("got %+v, want pool/q alone", is)
	}
	if err := s.runJSON(&differs, "diff", s.writeFile("both.toml", servicesText(2, 5))); err != nil || len(differs.Edits) != 0 {
		t.Errorf("both their changes: %+v, %v", differs, err)
	}

	record := "attempts = 4\nservers = [\"127.0.0.1:1\"]\n[[class]]\nname = \"look\"\nrepeat = \"safe\"\n"
	s.checkAgrees(4, "put", "pool/q", s.writeFile("q.pool", record))
	if err := s.runJSON(&none, "put", "pool/q", s.writeFile("q.pool", "name = \"q\"\n"+record)); err != nil || len(none.Versions) != 0 {
		t.Errorf("the same record: %+v, %v", none, err)
	}
	if is := s.checkAgrees(5, "delete", "pool/q"); is.Deleted != 1 {
		t.Errorf("got %+v", is)
	}
	s.checkFails(1, "want a number", "rollback", "one")
	s.checkFails(1, "not remembered", "rollback", "9")
	if is := s.checkAgrees(6, "rollback", "1", "--note", "not so"); is.New != 1 || is.Changed != 1 {
		t.Errorf("got %+v", is)
	}
	if err := s.runJSON(&differs, "diff", first); err != nil || len(differs.Edits) != 0 {
		t.Errorf("back at version 1: %+v, %v", differs, err)
	}
	var log []logEntry
	if err := s.runJSON(&log, "log", "-n", "5"); err != nil || len(log) != 5 || log[0].Reverts != 1 || log[0].Note != "not so" || log[4].Author != "ann" || log[3].Author != "ben" || len(log[1].Deleted) != 1 || log[3].At.IsZero() {
		t.Errorf("got %+v, %v", log, err)
	}
	if text, err := s.runCommand("log"); err != nil || !strings.Contains(text, `"to begin with"`) || !strings.Contains(text, "-pool/q") || !strings.Contains(text, "back to 1. not so") {
		t.Errorf("%v: %s", err, text)
	}
}

// TestConflictingProposal has another change agreed on between an operator's read and proposal: the
// voters reject the proposal, and the error says whose change it was.
func TestConflictingProposal(t *testing.T) {
	t.Parallel()
	s := newConfigSite(t)
	s.checkAgrees(1, "propose", s.writeFile("first.toml", servicesText(1, 1)))
	d := check.Must[*config.Distribution](t)(config.LoadDistribution(filepath.Join(s.dir, "ops.toml")))
	voters := check.Must[*consensus.Client](t)(consensus.NewClient(d.Cluster.Voters, d.Cluster.Files))
	defer voters.Close()
	c := &configClient{configFlags: &configFlags{author: "ben"}, voters: voters, distribution: d, out: s.log, notes: s.log}
	c.wait = check.Soon
	err := c.change(t.Context(), configlog.Change{}, func(is *configlog.State) ([]configdiff.Edit, error) {
		edits, err := c.editsOfFile(is, s.writeFile("second.toml", servicesText(2, 1)))
		s.checkAgrees(2, "propose", s.writeFile("ann.toml", servicesText(3, 1)), "--author", "ann", "--note", "at once")
		return edits, err
	})
	if exitCode(err) != exitConflict || !strings.Contains(err.Error(), `pool/p was changed at version 2 by "ann": "at once"`) || !strings.Contains(err.Error(), "config diff") {
		t.Errorf("got %v", err)
	}
	s.awaitStatus("the first stays", func(d *distributionStatus) bool { return d.Version == 2 })
}

// TestRelayCommand has two relays serve two nodes: status shows both, what a node rejects, and a
// relay that has ended. Then the voters that ended with the relays leave no majority, and nothing
// is agreed on.
func TestRelayCommand(t *testing.T) {
	t.Parallel()
	s := newConfigSite(t)
	refuse := errors.New("pool/p: attempts is too many for this one")
	for i := range 2 {
		name := fmt.Sprint("n", i)
		src := check.Must[*configsync.Source](t)(configsync.NewSource(configsync.SourceOptions{
			Name: name, Zone: "zone-a", Relays: s.relays, Files: s.certificate("node"), Log: slog.New(slog.NewTextHandler(s.log, nil)),
			Install: func(configlog.Snapshot) error { return nil },
			Apply: func(c configlog.Change) error {
				if name == "n1" && c.Version == 2 {
					return refuse
				}
				return nil
			},
		}))
		t.Cleanup(src.Close)
	}
	s.checkAgrees(1, "propose", s.writeFile("first.toml", servicesText(1, 1)))
	level := func(d *distributionStatus) (n int) {
		for _, r := range d.Relays {
			if r.Report != nil && r.Report.Version == d.Version && r.Report.Age >= 0 {
				n += r.Report.Level
			}
		}
		return n
	}
	s.awaitStatus("both nodes are level", func(d *distributionStatus) bool { return d.Version == 1 && level(d) == 2 })
	s.checkAgrees(2, "propose", s.writeFile("second.toml", servicesText(2, 1)))
	s.awaitStatus("status shows what a node rejects", func(d *distributionStatus) bool {
		for _, r := range d.Relays {
			if r.Report != nil && len(r.Report.Worst) > 0 && r.Report.Worst[0].Node == "n1" && r.Report.Worst[0].Refused == 1 && strings.Contains(r.Report.Worst[0].Why, refuse.Error()) {
				return true
			}
		}
		return false
	})
	if text, err := s.runCommand("status"); err != nil || !strings.Contains(text, "version 2") || !strings.Contains(text, `"n1"`) || !strings.Contains(text, refuse.Error()) {
		t.Errorf("%v: %s", err, text)
	}

	if err := s.stops["b"](); err != nil {
		t.Errorf("relay b ends: %v", err)
	}
	s.awaitStatus("a relay that has ended is shown first, and its nodes follow the other", func(d *distributionStatus) bool {
		return d.Relays[0].Name == "b" && d.Relays[0].Error != "" && d.Relays[1].Report != nil && d.Relays[1].Report.Streams == 2 && d.Relays[1].Report.Level == 2
	})
	if text, err := s.runCommand("status"); err != nil || !strings.Contains(text, "connection refused") {
		t.Errorf("%v: %s", err, text)
	}
	s.checkAgrees(3, "propose", s.writeFile("third.toml", servicesText(3, 1)))
	s.awaitStatus("the nodes have it from the other relay", func(d *distributionStatus) bool { return d.Version == 3 && level(d) == 2 })

	if text := s.log.String(); !strings.Contains(text, `msg="a change of the configuration" version=3`) {
		t.Errorf("the relay's log tells nothing of version 3: %s", text)
	}

	if err := s.stops["a"](); err != nil {
		t.Errorf("relay a ends: %v", err)
	}
	if err := s.runJSON(nil, "propose", s.writeFile("fourth.toml", servicesText(4, 1))); !errors.Is(err, errNoMajority) || exitCode(err) != exitFailed {
		t.Errorf("without a majority: %v", err)
	}
	var log []logEntry
	if err := s.runJSON(&log, "log"); err != nil || len(log) == 0 || log[0].Version != 3 {
		t.Errorf("what one voter has can be read: %+v, %v", log, err)
	}
}

// TestNodeFollowsRelays has a node serve by what operators propose: it is ready with the first
// version, and status shows that it is level.
func TestNodeFollowsRelays(t *testing.T) {
	t.Parallel()
	s := newConfigSite(t)
	at, f := check.UnusedAddr(t), s.certificate("node")
	text := fmt.Sprintf("[node]\nname = \"edge-1\"\nlisten = [\"127.0.0.1:0\"]\ncontrol = %q\n[config]\nfolder = \"edge-1\"\ncertificate = %q\nkey = %q\nauthorities = %q\n", at, f.Certificate, f.Key, f.Authorities)
	for _, r := range s.relays {
		text += fmt.Sprintf("[[config.relay]]\nname = %q\naddress = %q\n", r.Name, r.Addr)
	}
	p := check.Must[*testbed.Process](t)(startServing(s.dir, "edge-1", s.writeFile("edge-1.toml", text)))
	defer p.Kill()
	has := func(line string) {
		t.Helper()
		check.Eventually(t, line, func() bool {
			all, err := admin.ReadMetrics(t.Context(), at)
			return err == nil && slices.ContainsFunc(all, func(f admin.Metric) bool { return fmt.Sprintf("%s=%d", f.Name, f.Value) == line })
		})
	}
	has("config_version=0")
	if _, err := admin.Call(t.Context(), at, "readyz"); err == nil {
		t.Error("the node is ready, and has no configuration")
	}
	s.checkAgrees(1, "propose", s.writeFile("first.toml", servicesText(1, 1)))
	has("config_version=1")
	s.checkAgrees(2, "put", "pool/q", s.writeFile("q.pool", "attempts = 2\nservers = [\"127.0.0.1:1\"]\n[[class]]\nname = \"look\"\nrepeat = \"safe\"\n"))
	has("config_version=2")
	s.checkAgrees(3, "rollback", "1")
	has("config_version=3")
	has("config_level=1")
	if _, err := admin.Call(t.Context(), at, "readyz"); err != nil {
		t.Error(err)
	}
	s.awaitStatus("status tells that the node is level", func(d *distributionStatus) bool {
		n := 0
		for _, r := range d.Relays {
			if r.Report != nil && r.Report.Version == 3 {
				n += r.Report.Level
			}
		}
		return n == 1
	})
	if err := p.Terminate(); err != nil {
		t.Error(err)
	}
}

// TestRelayReport sums up a relay's nodes, the worst of them first.
func TestRelayReport(t *testing.T) {
	t.Parallel()
	status := func(name string, sent, version, refused uint64) configsync.NodeStatus {
		return configsync.NodeStatus{Name: name, SentVersion: sent, Report: configsync.NodeReport{Version: version, RejectedChanges: refused}}
	}
	all := []configsync.NodeStatus{
		status("level", 9, 9, 0), status("slow", 9, 7, 0), status("stuck", 5, 5, 0), status("spare", 0, 0, 0), status("refuses", 9, 9, 2),
	}
	r := newRelayReport(configsync.RelayStatus{Version: 9, Nodes: all}, all[0].Since, 10)
	var names []string
	for _, n := range r.Worst {
		names = append(names, fmt.Sprint(n.Node, " ", n.Behind))
	}
	if want := []string{"refuses 0", "spare 9", "stuck 4", "slow 2"}; !slices.Equal(names, want) {
		t.Errorf("got %q, want %q", names, want)
	}
	if r.Streams != 5 || r.Level != 2 || r.Late != 2 || r.Silent != 1 || r.Refusing != 1 {
		t.Errorf("got %+v", r)
	}
	if r := newRelayReport(configsync.RelayStatus{Version: 9, Nodes: all}, all[0].Since, 1); len(r.Worst) != 1 || r.Late != 2 {
		t.Errorf("one is asked for: %+v", r)
	}
}

// TestExitCodes gives each kind of failure its exit code.
func TestExitCodes(t *testing.T) {
	t.Parallel()
	for want, err := range map[int]error{
		exitFailed: errNoMajority, exitConflict: withAdvice(fmt.Errorf("x: %w", configlog.ErrConflict)), exitUnknown: withAdvice(fmt.Errorf("x: %w", consensus.ErrUnknown)),
	} {
		if got := exitCode(err); got != want {
			t.Errorf("%v: exit %d, want %d", err, got, want)
		}
	}
}
