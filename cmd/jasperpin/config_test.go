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

// configSite is an installation of three voters, two of which are also relays that the `config relay` command
// runs, and the operators' files.
type configSite struct {
	t         *testing.T
	dir       string
	auth      *emulator.Authority
	voters    map[string]string
	relays    []configsync.RelayAddress
	status    map[string]string
	log       *check.Log
	stopRelay map[string]func() error
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

// newConfigSite creates a group of three voters and starts it.
func newConfigSite(t *testing.T) *configSite {
	t.Helper()
	site := &configSite{t: t, dir: t.TempDir(), voters: make(map[string]string), status: make(map[string]string), log: &check.Log{}, stopRelay: make(map[string]func() error)}
	site.auth = check.Must[*emulator.Authority](t)(emulator.NewAuthority(site.dir))
	var voterAddrs []string
	relayTables := ""
	for _, name := range []string{"a", "b", "c"} {
		site.voters[name] = check.UnusedAddr(t)
		voterAddrs = append(voterAddrs, `"`+site.voters[name]+`"`)
	}
	for _, name := range []string{"a", "b"} {
		relay := configsync.RelayAddress{Peer: configlog.Peer{Name: name, Zone: "zone-" + name}, Addr: check.UnusedAddr(t)}
		site.relays, site.status[name] = append(site.relays, relay), check.UnusedAddr(t)
		relayTables += fmt.Sprintf("[[config.relay]]\nname = %q\nzone = %q\naddress = %q\nstatus = %q\n", name, relay.Zone, relay.Addr, site.status[name])
	}
	file := func(name, own, ownRelay string) string {
		f, r := site.certificate(consensus.VoterName), site.certificate(configsync.RelayName)
		return site.writeFile(name+".toml", fmt.Sprintf("[node]\nname = %q\n[cluster]\nvoters = [%s]\ncertificate = %q\nkey = %q\nauthorities = %q\n%s[config]\ncertificate = %q\nkey = %q\nauthorities = %q\n%s%s",
			name, strings.Join(voterAddrs, ", "), f.Certificate, f.Key, f.Authorities, own, r.Certificate, r.Key, r.Authorities, ownRelay, relayTables))
	}
	file("ops", "", "")
	for _, name := range []string{"a", "b", "c"} {
		folder := filepath.Join(site.dir, "group-"+name)
		if err := consensus.Bootstrap(folder, name, site.voters); err != nil {
			t.Fatal(err)
		}
		if name == "c" {
			v := check.Must[*consensus.Voter](t)(consensus.Start(consensus.Options{Listen: site.voters[name], Dir: folder, Files: site.certificate(consensus.VoterName), Log: slog.New(slog.NewTextHandler(site.log, nil))}))
			t.Cleanup(v.Close)
			continue
		}
		i := slices.IndexFunc(site.relays, func(r configsync.RelayAddress) bool { return r.Name == name })
		path := file(name, fmt.Sprintf("listen = %q\nfolder = \"group-%s\"\n", site.voters[name], name),
			fmt.Sprintf("listen = %q\nstatus = %q\nfolder = \"copy-%s\"\n", site.relays[i].Addr, site.status[name], name))
		site.startRelay(name, path)
	}
	site.awaitStatus("both relays are in sync, and no version is committed", func(d *distributionStatus) bool {
		both := d.Majority && d.Version == 0
		for _, r := range d.Relays {
			both = both && r.Report != nil && r.Report.Age >= 0
		}
		return both
	})
	return site
}

// startRelay runs a relay until its stopRelay function is called, which returns the relay's error: relay a
// in this process, relay b as a process that SIGTERM ends.
func (s *configSite) startRelay(name, path string) {
	if name == "b" {
		program := testbed.Program{Path: os.Args[0], Env: []string{"JASPERPIN_TEST_MAIN=1"}}
		p := check.Must[*testbed.Process](s.t)(program.Start(s.dir, name, "config", "relay", "-c", path))
		s.stopRelay[name] = sync.OnceValue(p.Terminate)
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
	s.stopRelay[name] = sync.OnceValue(func() error {
		cancel()
		return <-ended
	})
	s.stopAtCleanup(name)
}

func (s *configSite) stopAtCleanup(name string) {
	s.t.Cleanup(func() {
		if err := s.stopRelay[name](); err != nil {
			s.t.Errorf("relay %s: %v", name, err)
		}
	})
}

// runJSON runs a `config` command with --json and decodes its output into out, unless out is nil.
func (s *configSite) runJSON(out any, args ...string) error {
	text, err := s.runCommand(append(args, "--json")...)
	if err == nil && out != nil {
		if err := json.Unmarshal([]byte(text), out); err != nil {
			s.t.Fatalf("parsing the output %q: %v", text, err)
		}
	}
	return err
}

// runCommand runs a `config` command and returns its output.
func (s *configSite) runCommand(args ...string) (string, error) {
	cmd := rootCommand()
	var b bytes.Buffer
	cmd.SetOut(&b)
	cmd.SetErr(s.log)
	cmd.SetArgs(append(append([]string{"config"}, args...), "-c", filepath.Join(s.dir, "ops.toml")))
	err := cmd.ExecuteContext(s.t.Context())
	return b.String(), err
}

// checkFails checks that a command fails with an exit code and an error that contains want, and that it
// commits nothing.
func (s *configSite) checkFails(code int, want string, args ...string) {
	s.t.Helper()
	var before, after distributionStatus
	_ = s.runJSON(&before, "status")
	err := s.runJSON(nil, args...)
	if err == nil || exitCode(err) != code || !strings.Contains(err.Error(), want) {
		s.t.Errorf("%q: exit %d, %v; want %d and %q", args, exitCode(err), err, code, want)
	}
	if _ = s.runJSON(&after, "status"); after.Version != before.Version || after.Digest != before.Digest {
		s.t.Errorf("%q: got version %d after a failed command, want version %d with the same digest", args, after.Version, before.Version)
	}
}

// checkCommits checks that a command commits exactly one version, and returns its output.
func (s *configSite) checkCommits(version uint64, args ...string) (result changeResult) {
	s.t.Helper()
	if err := s.runJSON(&result, args...); err != nil || len(result.Versions) != 1 || result.Versions[0] != version {
		s.t.Fatalf("%q: %+v, %v; want version %d", args, result, err, version)
	}
	return result
}

// awaitStatus waits until ok returns true for the output of `config status`.
func (s *configSite) awaitStatus(what string, ok func(d *distributionStatus) bool) {
	s.t.Helper()
	check.Eventually(s.t, what, func() bool {
		var d distributionStatus
		return s.runJSON(&d, "status") == nil && ok(&d)
	})
}

// servicesText returns an operator's file with two pools, p and q, and their maximum attempts.
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

// TestConfigCommands changes the configuration of three voters: by files and by records, with errors, by two
// operators concurrently, and by a rollback.
func TestConfigCommands(t *testing.T) {
	t.Parallel()
	site := newConfigSite(t)
	first := site.writeFile("first.toml", servicesText(1, 1))
	if result := site.checkCommits(1, "propose", first, "--author", "ann", "--note", "to begin with"); result.New != 4 || result.Base != 0 {
		t.Errorf("got %+v, want 4 new records", result)
	}
	var unchanged changeResult
	if err := site.runJSON(&unchanged, "propose", first); err != nil || len(unchanged.Versions) != 0 {
		t.Errorf("proposing the same file again returned %+v with error %v, want no version", unchanged, err)
	}

	second := site.writeFile("second.toml", servicesText(2, 1))
	var difference struct{ Edits []editEntry }
	if err := site.runJSON(&difference, "diff", second); err != nil || len(difference.Edits) != 1 || difference.Edits[0].Key != "pool/p" || len(difference.Edits[0].Fields) != 1 {
		t.Errorf("diff --json returned %+v with error %v, want one changed field of pool/p", difference, err)
	}
	if text, err := site.runCommand("diff", second); err != nil || text != "~ pool/p\n    attempts: 1 -> 2\n1 records differ from version 1\n" {
		t.Errorf("diff wrote %q with error %v, want attempts of pool/p changed from 1 to 2", text, err)
	}

	site.checkFails(1, "bad.toml:8: attempts is 99", "propose", site.writeFile("bad.toml", strings.Replace(servicesText(7, 7), "attempts = 7", "attempts = 99", 1)))
	site.checkFails(1, "has no pool and no service", "propose", site.writeFile("empty.toml", "[node]\nname = \"n\"\nlisten = [\"127.0.0.1:0\"]\n"))
	site.checkFails(1, "pool/p: attempts is 99", "put", "pool/p", site.writeFile("bad.pool", "attempts = 99\n"))
	site.checkFails(1, "not.pool:2: invalid TOML", "put", "pool/p", site.writeFile("not.pool", "attempts = 1\nattempts\n"))
	site.checkFails(1, "is not a valid key", "put", "pond/p", site.writeFile("good.pool", "attempts = 1\n"))
	site.checkFails(1, "pool/p: cannot be deleted while service/s/route/all leads to it", "delete", "pool/p")
	site.checkFails(1, "pool/none: unknown record", "delete", "pool/none")
	site.checkFails(1, "the newest version is 1", "propose", second, "--base", "2")

	// Ann and Ben both propose changes of version 1. A change of a record that the other author has not changed remains.
	site.checkCommits(2, "propose", second, "--author", "ann", "--base", "1")
	site.checkFails(2, `pool/p was changed at version 2 by "ann"`, "propose", site.writeFile("ben.toml", servicesText(3, 1)), "--author", "ben", "--base", "1")
	if result := site.checkCommits(3, "propose", site.writeFile("ben.toml", servicesText(1, 5)), "--author", "ben", "--base", "1"); result.Changed != 1 {
		t.Errorf("got %+v, want only pool/q changed", result)
	}
	if err := site.runJSON(&difference, "diff", site.writeFile("both.toml", servicesText(2, 5))); err != nil || len(difference.Edits) != 0 {
		t.Errorf("diff of the file with both changes returned %+v with error %v, want no edits", difference, err)
	}

	record := "attempts = 4\nservers = [\"127.0.0.1:1\"]\n[[class]]\nname = \"look\"\nrepeat = \"safe\"\n"
	site.checkCommits(4, "put", "pool/q", site.writeFile("q.pool", record))
	if err := site.runJSON(&unchanged, "put", "pool/q", site.writeFile("q.pool", "name = \"q\"\n"+record)); err != nil || len(unchanged.Versions) != 0 {
		t.Errorf("putting the same record again returned %+v with error %v, want no version", unchanged, err)
	}
	if result := site.checkCommits(5, "delete", "pool/q"); result.Deleted != 1 {
		t.Errorf("got %+v, want 1 deleted record", result)
	}
	site.checkFails(1, "want a number", "rollback", "one")
	site.checkFails(1, "no longer retained", "rollback", "9")
	if result := site.checkCommits(6, "rollback", "1", "--note", "not so"); result.New != 1 || result.Changed != 1 {
		t.Errorf("got %+v, want 1 new and 1 changed record", result)
	}
	if err := site.runJSON(&difference, "diff", first); err != nil || len(difference.Edits) != 0 {
		t.Errorf("after the rollback to version 1: diff returned %+v with error %v, want no edits", difference, err)
	}
	var log []logEntry
	if err := site.runJSON(&log, "log", "-n", "5"); err != nil || len(log) != 5 || log[0].Reverts != 1 || log[0].Note != "not so" || log[4].Author != "ann" || log[3].Author != "ben" || len(log[1].Deleted) != 1 || log[3].At.IsZero() {
		t.Errorf("log returned %+v with error %v, want the five last changes with their authors and notes", log, err)
	}
	if text, err := site.runCommand("log"); err != nil || !strings.Contains(text, `"to begin with"`) || !strings.Contains(text, "-pool/q") || !strings.Contains(text, "back to 1. not so") {
		t.Errorf("log returned error %v and wrote %s, want the three changes", err, text)
	}
}

// TestConflictingProposal commits another change between an operator's read and proposal: the voters reject
// the proposal, and the error names the author of the other change.
func TestConflictingProposal(t *testing.T) {
	t.Parallel()
	site := newConfigSite(t)
	site.checkCommits(1, "propose", site.writeFile("first.toml", servicesText(1, 1)))
	d := check.Must[*config.Distribution](t)(config.LoadDistribution(filepath.Join(site.dir, "ops.toml")))
	voters := check.Must[*consensus.Client](t)(consensus.NewClient(d.Cluster.Voters, d.Cluster.Files))
	defer voters.Close()
	client := &configClient{configFlags: &configFlags{author: "ben"}, voters: voters, distribution: d, out: site.log, notices: site.log}
	client.wait = check.Timeout
	err := client.change(t.Context(), configlog.Change{}, func(state *configlog.State) ([]configdiff.Edit, error) {
		edits, err := client.editsFromFile(state, site.writeFile("second.toml", servicesText(2, 1)))
		site.checkCommits(2, "propose", site.writeFile("ann.toml", servicesText(3, 1)), "--author", "ann", "--note", "at once")
		return edits, err
	})
	if exitCode(err) != exitConflict || !strings.Contains(err.Error(), `pool/p was changed at version 2 by "ann": "at once"`) || !strings.Contains(err.Error(), "config diff") {
		t.Errorf("got error %v, want a conflict with the change of ann", err)
	}
	site.awaitStatus("the first change remains", func(d *distributionStatus) bool { return d.Version == 2 })
}

// TestRelayCommand runs two relays that serve two nodes: `config status` shows both relays, the change that a
// node rejects, and a relay that has ended. After both relays have ended, and with them two of three voters,
// there is no majority and no change is committed.
func TestRelayCommand(t *testing.T) {
	t.Parallel()
	site := newConfigSite(t)
	errRejected := errors.New("pool/p: attempts is too large for this node")
	for i := range 2 {
		name := fmt.Sprint("n", i)
		src := check.Must[*configsync.Source](t)(configsync.NewSource(configsync.SourceOptions{
			Name: name, Zone: "zone-a", Relays: site.relays, Files: site.certificate("node"), Log: slog.New(slog.NewTextHandler(site.log, nil)),
			Install: func(configlog.Snapshot) error { return nil },
			Apply: func(c configlog.Change) error {
				if name == "n1" && c.Version == 2 {
					return errRejected
				}
				return nil
			},
		}))
		t.Cleanup(src.Close)
	}
	site.checkCommits(1, "propose", site.writeFile("first.toml", servicesText(1, 1)))
	levelNodes := func(d *distributionStatus) (n int) {
		for _, r := range d.Relays {
			if r.Report != nil && r.Report.Version == d.Version && r.Report.Age >= 0 {
				n += r.Report.Level
			}
		}
		return n
	}
	site.awaitStatus("both nodes have applied version 1", func(d *distributionStatus) bool { return d.Version == 1 && levelNodes(d) == 2 })
	site.checkCommits(2, "propose", site.writeFile("second.toml", servicesText(2, 1)))
	site.awaitStatus("status shows the change that a node rejects", func(d *distributionStatus) bool {
		for _, r := range d.Relays {
			if r.Report != nil && len(r.Report.Worst) > 0 && r.Report.Worst[0].Node == "n1" && r.Report.Worst[0].Refused == 1 && strings.Contains(r.Report.Worst[0].Why, errRejected.Error()) {
				return true
			}
		}
		return false
	})
	if text, err := site.runCommand("status"); err != nil || !strings.Contains(text, "version 2") || !strings.Contains(text, `"n1"`) || !strings.Contains(text, errRejected.Error()) {
		t.Errorf("status returned error %v and wrote %s, want version 2, node n1 and its rejection", err, text)
	}

	if err := site.stopRelay["b"](); err != nil {
		t.Errorf("relay b ended with %v", err)
	}
	site.awaitStatus("status lists the relay that has ended first, and its nodes follow the other relay", func(d *distributionStatus) bool {
		return d.Relays[0].Name == "b" && d.Relays[0].Error != "" && d.Relays[1].Report != nil && d.Relays[1].Report.Streams == 2 && d.Relays[1].Report.Level == 2
	})
	if text, err := site.runCommand("status"); err != nil || !strings.Contains(text, "connection refused") {
		t.Errorf("status returned error %v and wrote %s, want a refused connection", err, text)
	}
	site.checkCommits(3, "propose", site.writeFile("third.toml", servicesText(3, 1)))
	site.awaitStatus("both nodes have applied version 3 from the other relay", func(d *distributionStatus) bool { return d.Version == 3 && levelNodes(d) == 2 })

	if text := site.log.String(); !strings.Contains(text, `msg="configuration change committed" version=3`) {
		t.Errorf("the relay did not log version 3: %s", text)
	}

	if err := site.stopRelay["a"](); err != nil {
		t.Errorf("relay a ended with %v", err)
	}
	if err := site.runJSON(nil, "propose", site.writeFile("fourth.toml", servicesText(4, 1))); !errors.Is(err, errNoMajority) || exitCode(err) != exitFailed {
		t.Errorf("a proposal without a majority returned error %v, want errNoMajority", err)
	}
	var log []logEntry
	if err := site.runJSON(&log, "log"); err != nil || len(log) == 0 || log[0].Version != 3 {
		t.Errorf("log without a majority returned %+v with error %v, want version 3 first", log, err)
	}
}

// TestNodeFollowsRelays starts a node that follows the relays: it is ready once it has applied the first
// version, it applies each later one, and `config status` shows that it is up to date.
func TestNodeFollowsRelays(t *testing.T) {
	t.Parallel()
	site := newConfigSite(t)
	adminAddr, files := check.UnusedAddr(t), site.certificate("node")
	text := fmt.Sprintf("[node]\nname = \"edge-1\"\nlisten = [\"127.0.0.1:0\"]\ncontrol = %q\n[config]\nfolder = \"edge-1\"\ncertificate = %q\nkey = %q\nauthorities = %q\n", adminAddr, files.Certificate, files.Key, files.Authorities)
	for _, r := range site.relays {
		text += fmt.Sprintf("[[config.relay]]\nname = %q\naddress = %q\n", r.Name, r.Addr)
	}
	node := check.Must[*testbed.Process](t)(startServing(site.dir, "edge-1", site.writeFile("edge-1.toml", text)))
	defer node.Kill()
	awaitMetric := func(line string) {
		t.Helper()
		check.Eventually(t, line, func() bool {
			all, err := admin.ReadMetrics(t.Context(), adminAddr)
			return err == nil && slices.ContainsFunc(all, func(m admin.Metric) bool { return fmt.Sprintf("%s=%d", m.Name, m.Value) == line })
		})
	}
	awaitMetric("config_version=0")
	if _, err := admin.Call(t.Context(), adminAddr, "readyz"); err == nil {
		t.Error("the node is ready without a configuration")
	}
	site.checkCommits(1, "propose", site.writeFile("first.toml", servicesText(1, 1)))
	awaitMetric("config_version=1")
	site.checkCommits(2, "put", "pool/q", site.writeFile("q.pool", "attempts = 2\nservers = [\"127.0.0.1:1\"]\n[[class]]\nname = \"look\"\nrepeat = \"safe\"\n"))
	awaitMetric("config_version=2")
	site.checkCommits(3, "rollback", "1")
	awaitMetric("config_version=3")
	awaitMetric("config_level=1")
	if _, err := admin.Call(t.Context(), adminAddr, "readyz"); err != nil {
		t.Error(err)
	}
	site.awaitStatus("status shows that the node is up to date", func(d *distributionStatus) bool {
		n := 0
		for _, r := range d.Relays {
			if r.Report != nil && r.Report.Version == 3 {
				n += r.Report.Level
			}
		}
		return n == 1
	})
	if err := node.Terminate(); err != nil {
		t.Error(err)
	}
}

// TestRelayReport counts a relay's nodes by their state and lists the worst first.
func TestRelayReport(t *testing.T) {
	t.Parallel()
	status := func(name string, sent, version, refused uint64) configsync.NodeStatus {
		return configsync.NodeStatus{Name: name, SentVersion: sent, Report: configsync.NodeReport{Version: version, FailedChanges: refused}}
	}
	all := []configsync.NodeStatus{
		status("level", 9, 9, 0), status("slow", 9, 7, 0), status("stuck", 5, 5, 0), status("spare", 0, 0, 0), status("refuses", 9, 9, 2),
	}
	r := newRelayReport(configsync.RelayStatus{Version: 9, Nodes: all}, all[0].ConnectedAt, 10)
	var names []string
	for _, n := range r.Worst {
		names = append(names, fmt.Sprint(n.Node, " ", n.Behind))
	}
	if want := []string{"refuses 0", "spare 9", "stuck 4", "slow 2"}; !slices.Equal(names, want) {
		t.Errorf("got %q, want %q", names, want)
	}
	if r.Streams != 5 || r.Level != 2 || r.Late != 2 || r.Silent != 1 || r.Refusing != 1 {
		t.Errorf("the relay's report is %+v, want 5 nodes: 2 level, 2 late, 1 silent; 1 refusing", r)
	}
	if r := newRelayReport(configsync.RelayStatus{Version: 9, Nodes: all}, all[0].ConnectedAt, 1); len(r.Worst) != 1 || r.Late != 2 {
		t.Errorf("the report with at most one node is %+v, want one node listed and 2 late", r)
	}
}

// TestExitCodes checks the exit code for each kind of error.
func TestExitCodes(t *testing.T) {
	t.Parallel()
	for want, err := range map[int]error{
		exitFailed: errNoMajority, exitConflict: withAdvice(fmt.Errorf("x: %w", configlog.ErrConflict)), exitUnknown: withAdvice(fmt.Errorf("x: %w", consensus.ErrUnknown)),
	} {
		if got := exitCode(err); got != want {
			t.Errorf("error %v has exit code %d, want %d", err, got, want)
		}
	}
}
