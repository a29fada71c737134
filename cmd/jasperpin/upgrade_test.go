package main

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"jasperpin/internal/admin"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// upgradeSite is a node whose processes inherit one listening socket.
type upgradeSite struct {
	t       *testing.T
	ln      *net.TCPListener
	socket  *os.File
	dir     string
	file    string
	servers []*emulator.ScriptedServer
}

func newSite(t *testing.T) *upgradeSite {
	t.Helper()
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	socket := check.Must[*os.File](t)(ln.File())
	s := &upgradeSite{t: t, ln: ln, socket: socket, dir: t.TempDir()}
	t.Cleanup(func() { socket.Close(); ln.Close() })
	var addrs []string
	for range 3 {
		b := check.ScriptedServer(t, emulator.Echo)
		s.servers, addrs = append(s.servers, b), append(addrs, b.Addr)
	}
	d := check.StartForTest(t, func() (*emulator.Discovery, error) {
		return emulator.NewDiscovery(emulator.InServiceEntries(addrs...)...)
	})
	s.file = filepath.Join(s.dir, "config.json")
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": ln.Addr().String(), "discovery": d.Addr, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known":  map[string]any{"seq": 0, "whole": true, "hosts": emulator.InServiceEntries(addrs...)},
		"settings": map[string]any{
			"discovery": "ask", "ceilings": map[string]any{"maxAttempts": 2, "retryAfter": true, "maxRetryAfterMs": 1000},
			"classes": []any{map[string]any{"name": "look", "effect": "free", "objectiveMs": 1500, "deadlineMs": 2000}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(s.file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

// process is one process of the node.
type process struct {
	*upgradeSite
	cmd   *exec.Cmd
	at    string // its admin address
	ended chan error
	log   *check.Log
}

// start starts a process. Its admin server is ready when it returns, unless it is to fail.
func (s *upgradeSite) start(file string) *process {
	s.t.Helper()
	p := &process{upgradeSite: s, cmd: exec.Command(os.Args[0]), at: check.UnusedAddr(s.t), ended: make(chan error, 1), log: &check.Log{}}
	p.cmd.Env = append(os.Environ(), "JASPERPIN_TEST_MAIN=1", "GW_CONFIG="+file, "GW_LISTEN_FD=3", "GW_CONTROL="+p.at, "TMPDIR="+s.dir)
	p.cmd.ExtraFiles = []*os.File{s.socket}
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	s.t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

func (p *process) awaitReady() *process {
	p.t.Helper()
	check.Eventually(p.t, "the process is ready", func() bool {
		_, err := p.call("readyz")
		return err == nil
	})
	return p
}

func (p *process) call(line string) ([]string, error) {
	ctx, cancel := context.WithTimeout(p.t.Context(), check.Soon)
	defer cancel()
	return admin.Call(ctx, p.at, line)
}

func (p *process) metric(name string) string {
	lines, _ := p.call("telemetry")
	for _, l := range lines {
		if v, ok := strings.CutPrefix(l, "svc."+name+"="); ok {
			return v
		}
	}
	return "none"
}

func (p *process) awaitEnd() {
	p.t.Helper()
	select {
	case err := <-p.ended:
		if err != nil {
			p.t.Errorf("the process ended with %v:\n%s", err, p.log)
		}
	case <-time.After(check.Soon):
		p.t.Error("the process did not end")
	}
}

// startLoad sends requests until stop is called; none may be lost.
func (s *upgradeSite) startLoad() (stop func()) {
	l := &emulator.Load{
		Addr: s.ln.Addr().String(), Rate: 200, Duration: time.Minute, Seed: 3,
		Kinds: []emulator.RequestKind{{Class: "look", Path: "/look/", Method: "GET", Weight: 1, LatencyObjective: 2 * time.Second, Deadline: 2 * time.Second}},
	}
	r := l.Start(s.t.Context())
	check.Eventually(s.t, "requests go on", func() bool { return r.Ended.Load() > 20 })
	return func() {
		s.t.Helper()
		was := r.Ended.Load()
		check.Eventually(s.t, "requests still go on", func() bool { return r.Ended.Load() > was+50 })
		r.Stop()
		t := r.Wait()["look"]
		if n := t.Results[emulator.Lost] + t.Results[emulator.Wrong] + t.Results[emulator.Failed]; n > 0 {
			s.t.Errorf("of %d requests %v: lost, wrong or failed", t.Requests, t.Results)
		}
	}
}

// TestUpgrade has a second process take over under load, three times in a row: no request is lost,
// and a server that an operator took out at any of them stays out.
func TestUpgrade(t *testing.T) {
	s := newSite(t)
	old := s.start(s.file).awaitReady()
	stop := s.startLoad()
	out := "s-" + s.servers[0].Addr
	if _, err := old.call("exclude " + out); err != nil {
		t.Fatal(err)
	}
	before := s.servers[0].Received.Load()
	for range 3 {
		next := s.start(s.file).awaitReady()
		if got := next.metric("out_of_rotation"); got != "1" {
			t.Errorf("the new process has %s servers out", got)
		}
		if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		old.awaitEnd()
		old = next
	}
	stop()
	// What had been sent before the call may still have been on its way.
	if got := s.servers[0].Received.Load(); got > before+5 {
		t.Errorf("%d requests went to a server that is out", got-before)
	}
	if !strings.Contains(old.log.String(), "taking over") {
		t.Errorf("the last process found nobody:\n%s", old.log)
	}
}

// TestFailedUpgrade starts a second process that cannot start, and one that dies once it is there:
// the first goes on with all that it had.
func TestFailedUpgrade(t *testing.T) {
	s := newSite(t)
	old := s.start(s.file).awaitReady()
	stop := s.startLoad()
	bad := filepath.Join(s.dir, "bad.json")
	if err := os.WriteFile(bad, []byte(`{"name":"n0"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := <-s.start(bad).ended; err == nil {
		t.Error("a process with a bad file ended well")
	}
	next := s.start(s.file).awaitReady()
	_ = next.cmd.Process.Kill()
	<-next.ended
	check.Eventually(t, "the first has noticed", func() bool { return strings.Contains(old.log.String(), "has ended") })
	s.start(s.file).awaitReady() // which finds the first one again
	stop()
}

// TestOldProcessKilled kills the first process once the second is there: the second has the whole
// machine at once, and clients repeat what the first held.
func TestOldProcessKilled(t *testing.T) {
	s := newSite(t)
	old := s.start(s.file).awaitReady()
	next := s.start(s.file).awaitReady()
	if _, err := next.call("exclude s-" + s.servers[0].Addr); err != nil {
		t.Fatal(err)
	}
	check.Eventually(t, "the call has reached the first", func() bool { return old.metric("out_of_rotation") == "1" })
	_ = old.cmd.Process.Kill()
	<-old.ended
	s.startLoad()()
	if got := next.metric("out_of_rotation"); got != "1" {
		t.Errorf("%s servers are out", got)
	}
}

// TestUpgradeDuringUpgrade starts a third process while the first still drains: an operator's call
// at any of them reaches all, they end one after another, and no request is lost. The last is
// killed and leaves its socket behind, which does not hold the next one up.
func TestUpgradeDuringUpgrade(t *testing.T) {
	s := newSite(t)
	all := []*process{s.start(s.file).awaitReady()}
	stop := s.startLoad()
	for range 2 {
		all = append(all, s.start(s.file).awaitReady())
	}
	if _, err := all[2].call("exclude s-" + s.servers[0].Addr); err != nil {
		t.Fatal(err)
	}
	for i, p := range all {
		check.Eventually(t, "each knows which server is out of rotation", func() bool { return p.metric("out_of_rotation") == "1" })
		if i < 2 {
			defer p.awaitEnd()
		}
	}
	for _, p := range all[:2] {
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	_ = all[2].cmd.Process.Kill()
	<-all[2].ended
	if next := s.start(s.file).awaitReady(); strings.Contains(next.log.String(), "taking over") || next.metric("out_of_rotation") != "0" {
		t.Errorf("it took over from one that is dead:\n%s", next.log)
	}
}
