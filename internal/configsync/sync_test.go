package configsync

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/mtls"
)

// rig is what a test's voters, relays and nodes share.
type rig struct {
	t    *testing.T
	auth *emulator.Authority
	log  *slog.Logger
	text *check.Log
}

func newRig(t *testing.T) *rig {
	t.Helper()
	text, log := logged(t)
	return &rig{t, check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir())), log, text}
}

func (g *rig) files(name string) mtls.Files {
	g.t.Helper()
	cert, key, err := g.auth.Issue(name)
	if err != nil {
		g.t.Fatal(err)
	}
	return mtls.Files{Certificate: cert, Key: key, Authorities: g.auth.File}
}

// voters are a group's, in a relay's eyes, without a group.
type voters struct {
	mu      sync.Mutex
	state   *configlog.State
	changed chan struct{}
	away    bool // nobody answers
	alone   bool // one answers, without a majority
}

func newVoters() *voters { return &voters{state: configlog.New(), changed: make(chan struct{})} }

// set has the voters away or alone, and wakes who waits.
func (v *voters) set(away, alone bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away, v.alone = away, alone
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *voters) propose(t *testing.T, pool, value string) configlog.Change {
	t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	c, err := v.state.Propose(proposal(v.state, pool, value))
	if err != nil {
		t.Fatal(err)
	}
	close(v.changed)
	v.changed = make(chan struct{})
	return c
}

func (v *voters) place() (uint64, configlog.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Version(), v.state.Digest()
}

func (v *voters) Config(ctx context.Context, since uint64, wait time.Duration) (consensus.News, error) {
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		v.mu.Lock()
		n := consensus.News{Version: v.state.Version(), Digest: v.state.Digest(), Agreed: !v.alone}
		after, ok := v.state.Since(since)
		n.Changes, n.Forgotten = after, !ok
		away, changed := v.away, v.changed
		v.mu.Unlock()
		if away {
			return consensus.News{}, errors.New("nobody is reached")
		}
		if n.Version != since {
			return n, nil
		}
		select {
		case <-changed:
		case <-until.C:
			return n, nil
		case <-ctx.Done():
			return n, ctx.Err()
		}
	}
}

func (v *voters) ConfigSnapshot(context.Context, uint64) (*configlog.State, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.away {
		return nil, errors.New("nobody is reached")
	}
	return configlog.Restore(v.state.Snapshot().Encode())
}

// relay starts one that ends with the test.
func (g *rig) relay(v Voters, edit ...func(*RelayOptions)) (*Relay, RelayAt) {
	g.t.Helper()
	opt := RelayOptions{Voters: v, Files: g.files(RelayName), Log: g.log}
	for _, f := range edit {
		f(&opt)
	}
	r := check.Must[*Relay](g.t)(NewRelay(opt))
	ln := check.Must[net.Listener](g.t)(net.Listen("tcp", "127.0.0.1:0"))
	var served sync.WaitGroup
	served.Go(func() {
		if err := r.Serve(ln); err != nil {
			g.t.Error(err)
		}
	})
	g.t.Cleanup(func() {
		r.Close()
		served.Wait()
	})
	return r, at(ln.Addr().String())
}

func at(addr string) RelayAt { return RelayAt{configlog.Peer{Name: addr}, addr} }

// node is a hollow one: it has a state of its own in force, by what its source says.
type node struct {
	*Source
	mu       sync.Mutex
	state    *configlog.State
	installs []uint64
	changes  []uint64
	refuse   error
}

// node starts one that ends with the test.
func (g *rig) node(name string, relays []RelayAt, edit ...func(*SourceOptions)) *node {
	g.t.Helper()
	n := &node{}
	opt := SourceOptions{
		Name: name, Relays: relays, Files: g.files("node"), Log: g.log, Seed: 7,
		Install: func(s configlog.Snapshot) error {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.installs = append(n.installs, s.Version())
			state, err := configlog.Restore(s.Encode())
			if err != nil {
				g.t.Errorf("%s: a snapshot of version %d: %v", name, s.Version(), err)
				return err
			}
			if n.state != nil && state.Version() < n.state.Version() {
				g.t.Errorf("%s went back from version %d to %d", name, n.state.Version(), state.Version())
			}
			n.state = state
			return n.refuse
		},
		Change: func(c configlog.Change) error {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.changes = append(n.changes, c.Version)
			if err := n.state.Apply(c); err != nil {
				g.t.Errorf("%s: version %d: %v", name, c.Version, err)
			}
			return n.refuse
		},
	}
	for _, f := range edit {
		f(&opt)
	}
	n.Source = check.Must[*Source](g.t)(NewSource(opt))
	g.t.Cleanup(n.Close)
	return n
}

// has says whether a node has a version in force.
func (n *node) has(version uint64, digest configlog.Digest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Version() == version && n.state.Digest() == digest
}

// counts are how many times each callback was called.
func (n *node) counts() (installs, changes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.installs), len(n.changes)
}

// level waits until all nodes have in force what the voters have.
func level(t *testing.T, what string, v interface {
	place() (uint64, configlog.Digest)
}, nodes ...*node) {
	t.Helper()
	version, digest := v.place()
	check.Eventually(t, what, func() bool {
		for _, n := range nodes {
			if !n.has(version, digest) {
				return false
			}
		}
		return true
	})
}

// group is a real one of three voters.
type group struct {
	*consensus.Client
	state *configlog.State // what was proposed, made to the same states
}

func (g *rig) group() *group {
	g.t.Helper()
	addrs := make(map[string]string)
	var all []string
	for _, n := range []string{"a", "b", "c"} {
		addrs[n] = check.Unused(g.t)
		all = append(all, addrs[n])
	}
	for n, addr := range addrs {
		dir := filepath.Join(g.t.TempDir(), n)
		if err := consensus.Begin(dir, n, addrs); err != nil {
			g.t.Fatal(err)
		}
		v := check.Must[*consensus.Voter](g.t)(consensus.Start(consensus.Options{Listen: addr, Dir: dir, Files: g.files(consensus.VoterName), Log: g.log}))
		g.t.Cleanup(v.Close)
	}
	c := check.Must[*consensus.Client](g.t)(consensus.NewClient(all, g.files("relay")))
	g.t.Cleanup(c.Close)
	return &group{c, configlog.New()}
}

func (g *group) propose(t *testing.T, pool, value string) {
	t.Helper()
	c := proposal(g.state, pool, value)
	ctx, cancel := context.WithTimeout(t.Context(), check.Soon)
	defer cancel()
	v, err := g.Propose(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	if made, err := g.state.Propose(c); err != nil || made.Version != v {
		t.Fatalf("version %d, here %d: %v", v, made.Version, err)
	}
}

func (g *group) place() (uint64, configlog.Digest) { return g.state.Version(), g.state.Digest() }

// TestFromProposalToAll has changes go from a proposal at three voters through three relays to twenty
// nodes, also while a relay dies.
func TestFromProposalToAll(t *testing.T) {
	t.Parallel()
	g := newRig(t)
	v := g.group()
	var relays []*Relay
	var addrs []RelayAt
	for range 3 {
		r, a := g.relay(v.Client)
		relays, addrs = append(relays, r), append(addrs, a)
	}
	var nodes []*node
	for i := range 20 {
		nodes = append(nodes, g.node(fmt.Sprintf("node%02d", i), addrs))
	}
	for i := range 3 {
		v.propose(t, "one", fmt.Sprintf(`{"at":%d}`, i))
	}
	level(t, "all have three changes", v, nodes...)
	served := func(of []*Relay) (all int) {
		version, digest := v.place()
		for _, r := range of {
			s := r.Status()
			if s.Version != version || s.Digest != digest || s.Why != "" {
				return -1
			}
			for _, n := range s.Nodes {
				if n.Sent == version && n.Told.Version == version {
					all++
				}
			}
		}
		return all
	}
	check.Eventually(t, "the relays know that all nodes have it", func() bool { return served(relays) == len(nodes) })
	for _, r := range relays {
		if n := len(r.Status().Nodes); n == 0 || n > 15 {
			t.Errorf("one of three relays serves %d of %d nodes", n, len(nodes))
		}
	}

	relays[0].Close()
	v.propose(t, "two", `{"at":4}`)
	level(t, "all have a change as a relay dies", v, nodes...)
	check.Eventually(t, "the others serve all nodes", func() bool { return served(relays[1:]) == len(nodes) })
	for _, n := range nodes {
		check.Eventually(t, "the node is level", func() bool {
			s := n.Status()
			return s.Level && s.Version == 4 && s.Age >= 0 && s.Age < configlog.StaleAfter && s.Why == ""
		})
		if installs, changes := n.counts(); installs != 1 || changes != 4 {
			t.Errorf("a node was given %d states and %d changes, want the empty one and 4", installs, changes)
		}
	}
}

// liar is a relay that speaks by a script.
func (g *rig) liar(script func(c net.Conn, resumed <-chan configlog.Resume) error) RelayAt {
	g.t.Helper()
	conf0, err := g.files(RelayName).Load("")
	if err != nil {
		g.t.Fatal(err)
	}
	ln := check.Must[net.Listener](g.t)(tls.Listen("tcp", "127.0.0.1:0", conf0))
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer c.Close()
				resumed := make(chan configlog.Resume, 100)
				all.Go(func() {
					defer close(resumed)
					for {
						text, err := read(c, nil, maxSaid)
						if err != nil {
							return
						}
						if r, err := configlog.DecodeResume(text); err == nil {
							resumed <- r
						}
					}
				})
				if script(c, resumed) == nil {
					for range resumed { // until the node leaves
					}
				}
			})
		}
	})
	g.t.Cleanup(func() {
		ln.Close()
		all.Wait()
	})
	return at(ln.Addr().String())
}

func say(c net.Conn, words ...configlog.Message) error {
	for _, w := range words {
		if err := send(c, lengthprefix.End(configlog.AppendMessage(lengthprefix.New(nil), w))); err != nil {
			return err
		}
	}
	return nil
}

// TestBadRelays has nodes meet relays that lie by a digest, go back in versions, fall silent, say what makes no
// sense, or have heard of nobody for long: each is left, and what was in force at any time is what the voters agreed on.
func TestBadRelays(t *testing.T) {
	v := newVoters()
	first := v.propose(t, "one", "{}")
	version, digest := v.place()
	offer := configlog.Heartbeat{Version: version, Digest: digest}
	for _, c := range []struct {
		name   string
		why    configlog.Why
		script func(c net.Conn, resumed <-chan configlog.Resume) error
	}{
		{"lies by a change", configlog.ReasonDigestMismatch, func(c net.Conn, resumed <-chan configlog.Resume) error {
			lie := first
			lie.Records = []configlog.Record{{Key: configlog.PoolKey("one"), Value: []byte(`{"evil":1}`)}}
			if err := say(c, offer); err != nil {
				return err
			}
			<-resumed
			return say(c, configlog.Changes{lie})
		}},
		{"lies by its digest", configlog.ReasonDigestMismatch, func(c net.Conn, resumed <-chan configlog.Resume) error {
			if err := say(c, offer); err != nil {
				return err
			}
			<-resumed
			return say(c, configlog.Changes{first}, configlog.Heartbeat{Version: version, Digest: configlog.Digest{1}})
		}},
		{"goes back", configlog.ReasonVersionRegressed, func(c net.Conn, resumed <-chan configlog.Resume) error {
			if err := say(c, offer); err != nil {
				return err
			}
			<-resumed
			return say(c, configlog.Changes{first}, configlog.Heartbeat{Version: 0, Digest: configlog.New().Digest()})
		}},
		{"falls silent", configlog.ReasonSilent, func(c net.Conn, resumed <-chan configlog.Resume) error {
			if err := say(c, offer); err != nil {
				return err
			}
			<-resumed
			return say(c, configlog.Changes{first})
		}},
		{"makes no sense", configlog.ReasonLost, func(c net.Conn, resumed <-chan configlog.Resume) error {
			return send(c, lengthprefix.End(append(lengthprefix.New(nil), "nonsense"...)))
		}},
		{"says too much", configlog.ReasonLost, func(c net.Conn, resumed <-chan configlog.Resume) error {
			return send(c, []byte{0xff, 0xff, 0xff, 0xff, 1})
		}},
		{"refuses", configlog.ReasonLost, func(c net.Conn, resumed <-chan configlog.Resume) error {
			return send(c, lengthprefix.End(append(lengthprefix.New(nil), "xno"...)))
		}},
		{"is old", configlog.ReasonLagging, func(c net.Conn, resumed <-chan configlog.Resume) error {
			return say(c, configlog.Heartbeat{Version: 0, Digest: configlog.New().Digest(), Age: time.Hour})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t)
			bad := g.liar(c.script)
			_, good := g.relay(v)
			bad.Rank, good.Rank = 0, 1 // the bad one is asked first
			n := g.node("node", []RelayAt{bad, good})
			check.Eventually(t, "the bad one is left", func() bool {
				s := n.Status()
				return s.Left[c.why] > 0 && s.Relay == good.Name && s.Level
			})
			level(t, "the node is level by the other", v, n)
			if !strings.Contains(g.text.String(), "is left") {
				t.Error("it is not told")
			}
		})
	}
}

// TestSlowReader has a stream whose end takes nothing: it ends, and the others do not wait for it.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	g := newRig(t)
	v := newVoters()
	large := strings.Repeat("x", configlog.MaxValue-100)
	for i := range 160 { // 10 MB, beyond what sockets hold and the log keeps
		v.propose(t, fmt.Sprint("pool", i), fmt.Sprintf(`{"n":%d,"x":"%s"}`, i, large))
	}
	r, a := g.relay(v)
	n := g.node("quick", []RelayAt{a})
	level(t, "the quick one is level", v, n)
	if installs, changes := n.counts(); installs != 2 || changes != 0 {
		t.Errorf("behind the log it was given %d states and %d changes, want the empty one and a snapshot", installs, changes)
	}
	var slow []net.Conn
	for range configlog.MaxSnapshotStreams + 1 {
		c := g.dial(a.Addr)
		hi, err := said(sayHello, hello{protocol, "slow", ""})
		if err != nil {
			t.Fatal(err)
		}
		if err := send(c, append(hi, lengthprefix.End(configlog.AppendResume(lengthprefix.New(nil), configlog.Resume{}))...)); err != nil {
			t.Fatal(err)
		}
		slow = append(slow, c)
	}
	check.Eventually(t, "all are served", func() bool { return len(r.Status().Nodes) == len(slow)+1 })
	for i := range 5 {
		v.propose(t, "one", fmt.Sprintf(`{"at":%d}`, i))
		level(t, "the quick one hears of changes", v, n)
	}
	late := g.node("late", []RelayAt{a})
	level(t, "one that comes late gets a snapshot behind the slow ones", v, late)
	check.Eventually(t, "the slow ones are left", func() bool { return len(r.Status().Nodes) == 2 })
	v.propose(t, "one", "{}")
	level(t, "the others go on", v, n, late)
}

// dial connects as a node does.
func (g *rig) dial(addr string) net.Conn {
	g.t.Helper()
	t, err := g.files("node").Load(RelayName)
	if err != nil {
		g.t.Fatal(err)
	}
	c := check.Must[*tls.Conn](g.t)(tls.Dial("tcp", addr, t))
	g.t.Cleanup(func() { c.Close() })
	return c
}

// TestResumed cuts a node's streams: it goes on behind what it has, without a snapshot. Where it was
// away for longer than the log remembers it gets one.
func TestResumed(t *testing.T) {
	t.Parallel()
	g := newRig(t)
	v := newVoters()
	v.propose(t, "one", "{}")
	r, a := g.relay(v)
	p := newCut(t, a.Addr)
	n := g.node("node", []RelayAt{at(p.ln.Addr().String())})
	level(t, "the node is level", v, n)
	for i := range 3 {
		p.cut(true)
		check.Eventually(t, "the relay has no stream", func() bool { return len(r.Status().Nodes) == 0 })
		v.propose(t, "one", fmt.Sprintf(`{"at":%d}`, i))
		p.cut(false)
		level(t, "the node is level behind the cut", v, n)
	}
	if installs, changes := n.counts(); installs != 1 || changes != 4 {
		t.Errorf("it was given %d states and %d changes, want the empty one and 4", installs, changes)
	}
	p.cut(true)
	for i := range 2 * configlog.MaxLogBytes / configlog.MaxValue {
		v.propose(t, "one", fmt.Sprintf(`{"at":%d,"x":"%s"}`, i, strings.Repeat("x", configlog.MaxValue-100)))
	}
	check.Eventually(t, "the relay is level", func() bool { at, _ := v.place(); return r.Status().Version == at })
	p.cut(false)
	level(t, "the node is level behind a long cut", v, n)
	if installs, _ := n.counts(); installs != 2 {
		t.Errorf("behind the log it was given %d states", installs)
	}
}

// cut passes connections on to an address, or not.
type cut struct {
	ln  net.Listener
	to  string
	mu  sync.Mutex
	is  bool
	all map[net.Conn]bool
}

func newCut(t *testing.T, to string) *cut {
	t.Helper()
	p := &cut{ln: check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0")), to: to, all: make(map[net.Conn]bool)}
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			c, err := p.ln.Accept()
			if err != nil {
				return
			}
			wait.Go(func() {
				defer c.Close()
				far, err := net.Dial("tcp", p.to)
				if err != nil {
					return
				}
				defer far.Close()
				if !p.hold(c, far) {
					return
				}
				wait.Go(func() {
					_, _ = bufio.NewReader(far).WriteTo(c)
					c.Close()
				})
				_, _ = bufio.NewReader(c).WriteTo(far)
			})
		}
	})
	t.Cleanup(func() {
		p.ln.Close()
		p.cut(true)
		wait.Wait()
	})
	return p
}

func (p *cut) hold(all ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range all {
		p.all[c] = true
	}
	return !p.is
}

func (p *cut) cut(is bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.is = is; is {
		for c := range p.all {
			c.Close()
		}
		clear(p.all)
	}
}

// TestCutRegion has the relay of a region hear of no voter, and then of one without a majority: it and its
// nodes go on with what they have and say so, and are level soon after.
func TestCutRegion(t *testing.T) {
	t.Parallel()
	g := newRig(t)
	v := newVoters()
	v.propose(t, "one", "{}")
	r, a := g.relay(v)
	n := g.node("node", []RelayAt{a})
	level(t, "the node is level", v, n)
	check.Eventually(t, "and says so", func() bool { return n.Status().Level })
	version, digest := v.place()
	for _, alone := range []bool{false, true} {
		v.set(!alone, alone)
		check.Eventually(t, "the relay says that it is not level", func() bool {
			s := r.Status()
			return s.Why != "" && s.Age > 0
		})
		check.Eventually(t, "the node says that it is not level", func() bool {
			s := n.Status()
			return !s.Level && s.Why != "" && s.Age >= configlog.StaleAfter && s.Version == version
		})
		if !n.has(version, digest) {
			t.Error("the node does not go on with what it has")
		}
	}
	v.propose(t, "one", `{"at":2}`)
	v.set(false, false)
	level(t, "the node is level behind the cut", v, n)
	check.Eventually(t, "and says so again", func() bool { return n.Status().Level && r.Status().Why == "" })
}

// TestRestartedFromCopy starts a node again with no relay up, from copies that are whole, damaged and gone.
func TestRestartedFromCopy(t *testing.T) {
	t.Parallel()
	g := newRig(t)
	v := newVoters()
	dir := t.TempDir()
	folder := func(o *SourceOptions) { o.Folder = dir }
	r, a := g.relay(v)
	n := g.node("node", []RelayAt{a}, folder)
	for i := range 5 {
		v.propose(t, "one", fmt.Sprintf(`{"at":%d}`, i))
		level(t, "the node is level", v, n)
	}
	version, digest := v.place()
	n.Close()
	r.Close()
	again := g.node("node", []RelayAt{a}, folder)
	if !again.has(version, digest) {
		t.Fatalf("a node that was restarted has version %d of %d", again.Status().Version, version)
	}
	check.Eventually(t, "it says that no relay is reached", func() bool {
		s := again.Status()
		return s.Relay == "" && s.Why != "" && s.Age < 0 && s.Version == version && s.Digest == digest
	})
	again.Close()

	path := filepath.Join(dir, changesFile)
	text := check.Must[[]byte](t)(os.ReadFile(path))
	text[len(text)-3] ^= 1 // in the last change
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	damaged := g.node("node", []RelayAt{a}, folder)
	if s := damaged.Status(); s.Version != version-1 {
		t.Errorf("with its last change damaged the copy gives version %d, want %d", s.Version, version-1)
	}
	if !strings.Contains(g.text.String(), "cannot be used") {
		t.Error("a damaged copy is not told")
	}
	damaged.Close()
	_, b := g.relay(v)
	healed := g.node("node", []RelayAt{b}, folder)
	level(t, "the node is level again", v, healed)
	healed.Close()
	if whole := g.node("node", nil, folder); !whole.has(version, digest) {
		t.Errorf("the copy was not mended: version %d", whole.Status().Version)
	}
}

// TestAnotherHistory starts a node from the copy of a group that is gone: the relays of the new one all deny what
// it has, and it takes theirs whole.
func TestAnotherHistory(t *testing.T) {
	t.Parallel()
	g := newRig(t)
	dir := t.TempDir()
	folder := func(o *SourceOptions) { o.Folder = dir }
	was, is := newVoters(), newVoters()
	for i := range 5 {
		if i < 3 {
			was.propose(t, "old", fmt.Sprintf(`{"at":%d}`, i))
		}
		is.propose(t, "new", fmt.Sprintf(`{"at":%d}`, i))
	}
	_, old := g.relay(was)
	n := g.node("node", []RelayAt{old}, folder)
	level(t, "the node has the old one", was, n)
	n.Close()
	_, a := g.relay(is)
	_, b := g.relay(is)
	n = g.node("node", []RelayAt{a, b}, folder)
	level(t, "the node has the new one", is, n)
	if installs, changes := n.counts(); installs != 2 || changes != 0 {
		t.Errorf("it was given %d states and %d changes, want its copy and the new one whole", installs, changes)
	}
}

// TestFolderNotWritable has a node go on without a copy, and say so.
func TestFolderNotWritable(t *testing.T) {
	g := newRig(t)
	v := newVoters()
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, changesFile), 0o700); err != nil { // also root cannot write it
		t.Fatal(err)
	}
	_, a := g.relay(v)
	n := g.node("node", []RelayAt{a}, func(o *SourceOptions) { o.Folder = dir })
	v.propose(t, "one", "{}")
	level(t, "the node is level", v, n)
	if s := n.Status(); s.Copy == "" {
		t.Errorf("%+v", s)
	}
}

// TestRefusedChange has a node refuse one: it is counted, the relay is told, and later ones go on.
func TestRefusedChange(t *testing.T) {
	g := newRig(t)
	v := newVoters()
	r, a := g.relay(v)
	n := g.node("node", []RelayAt{a})
	refuse := func(err error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.refuse = err
	}
	refuse(errors.New("pool/one: no such field"))
	v.propose(t, "one", "{}")
	level(t, "the first is tried", v, n)
	refuse(nil)
	v.propose(t, "two", "{}")
	level(t, "the second goes on", v, n)
	check.Eventually(t, "the relay is told", func() bool {
		s := r.Status()
		return len(s.Nodes) == 1 && s.Nodes[0].Told == Told{Version: 2, Refused: 1, Why: "pool/one: no such field"}
	})
	if s := n.Status(); s.Refused != 1 || s.Refusal != "pool/one: no such field" || s.Version != 2 {
		t.Errorf("%+v", s)
	}
}

// TestStrangersAndCrowds has a relay meet ends that are no nodes, and more nodes than it serves.
func TestStrangersAndCrowds(t *testing.T) {
	t.Parallel()
	g := newRig(t)
	v := newVoters()
	v.propose(t, "one", "{}")
	small, a := g.relay(v, func(o *RelayOptions) { o.Streams = 2 })
	other := check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir()))
	stranger := &rig{t, other, g.log, g.text}
	theirs, err := stranger.files("node").Load(RelayName)
	if err != nil {
		t.Fatal(err)
	}
	theirs.InsecureSkipVerify = true
	if c, err := tls.Dial("tcp", a.Addr, theirs); err == nil { // its handshake ends before it has been judged
		_ = c.SetReadDeadline(time.Now().Add(check.Soon))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("another authority's is served: %d", n)
		}
		c.Close()
	}
	old, err := said(sayHello, hello{protocol + 1, "old", ""})
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{
		"another protocol": old, "no hello": lengthprefix.End(append(lengthprefix.New(nil), '?')), "too much": {0xff, 0xff, 0xff, 0xff, 'h'}, "nothing": {0, 0, 0, 0},
	} {
		c := g.dial(a.Addr)
		if err := send(c, text); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(check.Soon))
		if said, err := read(c, nil, maxSaid); err != nil || said[0] != sayRefusal {
			t.Errorf("%s: %q %v", name, said, err)
		}
	}
	_, b := g.relay(v)
	a.Rank, b.Rank = 0, 1
	var nodes []*node
	for i := range 5 {
		nodes = append(nodes, g.node(fmt.Sprint("node", i), []RelayAt{a, b}))
	}
	level(t, "all nodes are level", v, nodes...)
	check.Eventually(t, "all are served", func() bool {
		for _, n := range nodes {
			if !n.Status().Level {
				return false
			}
		}
		return true
	})
	if n := len(small.Status().Nodes); n > 2 {
		t.Errorf("%d nodes are served, 2 are the most", n)
	}
}

// TestRelayServesOnAfterAcceptFails has accept(2) fail in each way that passes: the relay serves the
// nodes that come behind.
func TestRelayServesOnAfterAcceptFails(t *testing.T) {
	g := newRig(t)
	r := check.Must[*Relay](t)(NewRelay(RelayOptions{Voters: newVoters(), Files: g.files(RelayName), Log: g.log}))
	defer r.Close()
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(check.NewFailing(ln, check.AcceptErrors...)) }()
	conn := check.Must[net.Conn](t)(net.Dial("tcp", ln.Addr().String()))
	defer conn.Close()
	check.Eventually(t, "the connection is taken", func() bool {
		select {
		case err := <-ended:
			t.Fatalf("it ended with %v", err)
		default:
		}
		return len(r.shaking) > 0
	})
}
