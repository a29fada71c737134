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

// clusterSite is an installation whose nodes are processes, and a consensus group.
type clusterSite struct {
	t     *testing.T
	dir   string
	auth  *emulator.Authority
	addrs map[string]string
	procs map[string]*testbed.Process
}

// writeFile writes a node's file.
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
	s.procs[name] = check.Must[*testbed.Process](s.t)(startServing(s.dir, name, filepath.Join(s.dir, name+".toml")))
	s.t.Cleanup(func() { s.kill(name) })
}

func (s *clusterSite) kill(name string) {
	if p := s.procs[name]; p != nil {
		delete(s.procs, name)
		p.Kill()
	}
}

// runJSON runs a command with --json, whose answer goes to out.
func (s *clusterSite) runJSON(name string, out any, words ...string) error {
	cmd := rootCommand()
	var b bytes.Buffer
	cmd.SetOut(&b)
	cmd.SetArgs(append(append([]string{"cluster"}, words...), "-c", filepath.Join(s.dir, name+".toml"), "--json"))
	err := cmd.ExecuteContext(s.t.Context())
	if err == nil && out != nil {
		err = json.Unmarshal(b.Bytes(), out)
	}
	return err
}

// awaitMembers waits until the group has so many voters, one of which leads, and just these
// instances.
func (s *clusterSite) awaitMembers(voters int, names ...string) (leader string) {
	s.t.Helper()
	check.Eventually(s.t, fmt.Sprint(names, " are there"), func() bool {
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

// TestClusterCommands makes a group of three nodes by the command line. One that is stopped leaves
// and comes back; one that is killed and has lost its folder is replaced.
func TestClusterCommands(t *testing.T) {
	s := &clusterSite{t: t, dir: t.TempDir(), addrs: make(map[string]string), procs: make(map[string]*testbed.Process)}
	s.auth = check.Must[*emulator.Authority](t)(emulator.NewAuthority(s.dir))
	begin := []string{"begin"}
	for _, name := range []string{"a", "b", "c"} {
		s.addrs[name] = check.UnusedAddr(t)
		begin = append(begin, "--voter", name+"="+s.addrs[name])
	}
	for name := range s.addrs {
		s.writeFile(name)
		if err := s.runJSON(name, nil, begin...); err != nil {
			t.Fatal(err)
		}
		if err := s.runJSON(name, nil, begin...); err == nil {
			t.Error("a voter has begun twice")
		}
		s.startNode(name)
	}
	stopped := s.awaitMembers(3, "a", "b", "c")
	var rest []string
	for _, name := range []string{"a", "b", "c"} {
		if name != stopped {
			rest = append(rest, name)
		}
	}
	if err := s.procs[stopped].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	if next := s.awaitMembers(3, rest...); next == stopped {
		t.Errorf("%s leads, and is stopped", next)
	}
	if err := s.procs[stopped].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	s.awaitMembers(3, "a", "b", "c")

	s.kill("a")
	if err := os.RemoveAll(filepath.Join(s.dir, "group-a")); err != nil {
		t.Fatal(err)
	}
	s.awaitMembers(3, "b", "c")
	if err := s.runJSON("b", nil, "remove", "a"); err != nil {
		t.Fatal(err)
	}
	if err := s.runJSON("a", nil, "join"); err != nil {
		t.Fatal(err)
	}
	id := check.Must[string](t)(consensus.Identity(filepath.Join(s.dir, "group-a")))
	s.startNode("a")
	if err := s.runJSON("b", nil, "add", id, s.addrs["a"]); err != nil {
		t.Fatal(err)
	}
	s.awaitMembers(3, "a", "b", "c")
	var all []voterStatus
	check.Eventually(t, "the new voter knows what the others know", func() bool {
		err := s.runJSON("c", &all, "status")
		return err == nil && len(all) == 3 && all[0].Status != nil && all[1].Status != nil && all[2].Status != nil &&
			all[0].Status.Revision == all[1].Status.Revision && all[1].Status.Revision == all[2].Status.Revision
	})
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"cluster", "members", "-c", filepath.Join(s.dir, "b.toml")})
	if err := cmd.ExecuteContext(t.Context()); err != nil || !strings.Contains(out.String(), id) || !strings.Contains(out.String(), "INSTANCE") {
		t.Errorf("%v: %s", err, out.String())
	}
}
