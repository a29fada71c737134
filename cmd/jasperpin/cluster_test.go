package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
)

// clusterSite is an installation of nodes, each a process, with a consensus group.
type clusterSite struct {
	t         *testing.T
	dir       string
	auth      *emulator.Authority
	addrs     map[string]string
	processes map[string]*testbed.Process
}

// writeFile writes a node's configuration file and returns its path.
func (s *clusterSite) writeFile(name string) string {
	s.t.Helper()
	cert, key, err := s.auth.Issue(consensus.VoterName)
	if err != nil {
		s.t.Fatal(err)
	}
	var voters []string
	for _, a := range s.addrs {
		voters = append(voters, `"`+a+`"`)
	}
	text := fmt.Sprintf(`[node]
name = %q
listen = ["127.0.0.1:0"]
[cluster]
voters = [%s]
listen = %q
folder = "group-%s"
certificate = %q
key = %q
authorities = %q
%s`, name, strings.Join(voters, ", "), s.addrs[name], name, cert, key, s.auth.File, testbed.Service)
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *clusterSite) startNode(name string) {
	s.t.Helper()
	s.processes[name] = check.Must[*testbed.Process](s.t)(startServing(s.dir, name, filepath.Join(s.dir, name+".toml")))
	s.t.Cleanup(func() { s.kill(name) })
}

func (s *clusterSite) kill(name string) {
	if p := s.processes[name]; p != nil {
		delete(s.processes, name)
		p.Kill()
	}
}

// runJSON runs a `cluster` command with --json and decodes its output into out, unless out is nil.
func (s *clusterSite) runJSON(name string, out any, args ...string) error {
	cmd := rootCommand()
	var b bytes.Buffer
	cmd.SetOut(&b)
	cmd.SetArgs(append(append([]string{"cluster"}, args...), "-c", filepath.Join(s.dir, name+".toml"), "--json"))
	err := cmd.ExecuteContext(s.t.Context())
	if err == nil && out != nil {
		err = json.Unmarshal(b.Bytes(), out)
	}
	return err
}

// awaitMembers waits until the group has the given number of voters with a leader, and exactly the named
// instances. It returns the leader.
func (s *clusterSite) awaitMembers(voters int, names ...string) (leader string) {
	s.t.Helper()
	check.Eventually(s.t, fmt.Sprint(names, " are the registered instances"), func() bool {
		var m clusterMembers
		if err := s.runJSON("b", &m, "members"); err != nil || len(m.Voters) != voters || len(m.Instances) != len(names) {
			return false
		}
		leader = ""
		for _, v := range m.Voters {
			if v.IsLeader {
				leader = v.ID
			}
		}
		for i, name := range names {
			if m.Instances[i].Name != name {
				return false
			}
		}
		return leader != ""
	})
	return leader
}

// TestClusterCommands creates a group of three nodes with the `cluster` commands. A paused instance expires
// and registers again after it resumes; a node that was killed and has lost its folder is replaced.
func TestClusterCommands(t *testing.T) {
	site := &clusterSite{t: t, dir: t.TempDir(), addrs: make(map[string]string), processes: make(map[string]*testbed.Process)}
	site.auth = check.Must[*emulator.Authority](t)(emulator.NewAuthority(site.dir))
	begin := []string{"begin"}
	for _, name := range []string{"a", "b", "c"} {
		site.addrs[name] = check.UnusedAddr(t)
		begin = append(begin, "--voter", name+"="+site.addrs[name])
	}
	for name := range site.addrs {
		site.writeFile(name)
		if err := site.runJSON(name, nil, begin...); err != nil {
			t.Fatal(err)
		}
		if err := site.runJSON(name, nil, begin...); err == nil {
			t.Error("a second `cluster begin` of a voter succeeded")
		}
		site.startNode(name)
	}
	paused := site.awaitMembers(3, "a", "b", "c")
	var others []string
	for _, name := range []string{"a", "b", "c"} {
		if name != paused {
			others = append(others, name)
		}
	}
	if err := site.processes[paused].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	if next := site.awaitMembers(3, others...); next == paused {
		t.Errorf("the paused voter %s is still the leader", next)
	}
	if err := site.processes[paused].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	site.awaitMembers(3, "a", "b", "c")

	site.kill("a")
	if err := os.RemoveAll(filepath.Join(site.dir, "group-a")); err != nil {
		t.Fatal(err)
	}
	site.awaitMembers(3, "b", "c")
	if err := site.runJSON("b", nil, "remove", "a"); err != nil {
		t.Fatal(err)
	}
	if err := site.runJSON("a", nil, "join"); err != nil {
		t.Fatal(err)
	}
	id := check.Must[string](t)(consensus.Identity(filepath.Join(site.dir, "group-a")))
	site.startNode("a")
	if err := site.runJSON("b", nil, "add", id, site.addrs["a"]); err != nil {
		t.Fatal(err)
	}
	site.awaitMembers(3, "a", "b", "c")
	var all []voterStatus
	check.Eventually(t, "all voters have the same revision", func() bool {
		err := site.runJSON("c", &all, "status")
		return err == nil && len(all) == 3 && all[0].Status != nil && all[1].Status != nil && all[2].Status != nil &&
			all[0].Status.Revision == all[1].Status.Revision && all[1].Status.Revision == all[2].Status.Revision
	})
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"cluster", "members", "-c", filepath.Join(site.dir, "b.toml")})
	if err := cmd.ExecuteContext(t.Context()); err != nil || !strings.Contains(out.String(), id) || !strings.Contains(out.String(), "INSTANCE") {
		t.Errorf("the command returned error %v and wrote %s, want the instance's ID below the heading INSTANCE", err, out.String())
	}
}
