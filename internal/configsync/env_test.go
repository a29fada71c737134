package configsync

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/mtls"
)

// testEnv is shared by the voters, relays and nodes of a test: an authority for their certificates, and a log.
type testEnv struct {
	t    *testing.T
	auth *emulator.Authority
	log  *slog.Logger
	text *check.Log
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	text, log := newTestLog(t)
	return &testEnv{t, check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir())), log, text}
}

func (env *testEnv) files(name string) mtls.Files {
	env.t.Helper()
	cert, key, err := env.auth.Issue(name)
	if err != nil {
		env.t.Fatal(err)
	}
	return mtls.Files{Certificate: cert, Key: key, Authorities: env.auth.File}
}

// fakeVoters implements Voters without a cluster.
type fakeVoters struct {
	mu          sync.Mutex
	state       *configlog.State
	changed     chan struct{}
	unreachable bool // no voter answers
	noMajority  bool // one voter answers, without a majority
}

func newFakeVoters() *fakeVoters {
	return &fakeVoters{state: configlog.New(), changed: make(chan struct{})}
}

// set makes the voters unreachable, or makes the voter that answers lose its majority, and notifies waiting calls.
func (v *fakeVoters) set(unreachable, noMajority bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unreachable, v.noMajority = unreachable, noMajority
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *fakeVoters) propose(t *testing.T, pool, value string) configlog.Change {
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

func (v *fakeVoters) position() (uint64, configlog.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Version(), v.state.Digest()
}

func (v *fakeVoters) Config(ctx context.Context, since uint64, wait time.Duration) (consensus.ConfigUpdate, error) {
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		v.mu.Lock()
		update := consensus.ConfigUpdate{Version: v.state.Version(), Digest: v.state.Digest(), Confirmed: !v.noMajority}
		after, ok := v.state.ChangesSince(since)
		update.Changes, update.Compacted = after, !ok
		unreachable, changed := v.unreachable, v.changed
		v.mu.Unlock()
		if unreachable {
			return consensus.ConfigUpdate{}, errors.New("no voter is reachable")
		}
		if update.Version != since {
			return update, nil
		}
		select {
		case <-changed:
		case <-until.C:
			return update, nil
		case <-ctx.Done():
			return update, ctx.Err()
		}
	}
}

func (v *fakeVoters) ConfigSnapshot(context.Context, uint64) (*configlog.State, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unreachable {
		return nil, errors.New("no voter is reachable")
	}
	return configlog.Restore(v.state.Snapshot().Encode())
}

// relay starts a relay that is closed when the test ends.
func (env *testEnv) relay(v Voters, edit ...func(*RelayOptions)) (*Relay, RelayAddress) {
	env.t.Helper()
	opt := RelayOptions{Voters: v, Files: env.files(RelayName), Log: env.log}
	for _, f := range edit {
		f(&opt)
	}
	r := check.Must[*Relay](env.t)(NewRelay(opt))
	ln := check.Must[net.Listener](env.t)(net.Listen("tcp", "127.0.0.1:0"))
	var served sync.WaitGroup
	served.Go(func() {
		if err := r.Serve(ln); err != nil {
			env.t.Error(err)
		}
	})
	env.t.Cleanup(func() {
		r.Close()
		served.Wait()
	})
	return r, relayAt(ln.Addr().String())
}

// relayAt returns the relay at an address.
func relayAt(addr string) RelayAddress { return RelayAddress{configlog.Peer{Name: addr}, addr} }

// testNode is a node that only follows the configuration. Its source installs and changes a state.
type testNode struct {
	*Source
	mu       sync.Mutex
	state    *configlog.State
	installs []uint64
	changes  []uint64
	applyErr error
}

// node starts a node that is closed when the test ends.
func (env *testEnv) node(name string, relays []RelayAddress, edit ...func(*SourceOptions)) *testNode {
	env.t.Helper()
	n := &testNode{}
	opt := SourceOptions{
		Name: name, Relays: relays, Files: env.files("node"), Log: env.log, Seed: 7,
		Install: func(s configlog.Snapshot) error {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.installs = append(n.installs, s.Version())
			state, err := configlog.Restore(s.Encode())
			if err != nil {
				env.t.Errorf("node %s: restoring a snapshot of version %d: %v", name, s.Version(), err)
				return err
			}
			if n.state != nil && state.Version() < n.state.Version() {
				env.t.Errorf("node %s: the version decreased from %d to %d", name, n.state.Version(), state.Version())
			}
			n.state = state
			return n.applyErr
		},
		Apply: func(c configlog.Change) error {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.changes = append(n.changes, c.Version)
			if err := n.state.Apply(c); err != nil {
				env.t.Errorf("node %s: applying the change of version %d: %v", name, c.Version, err)
			}
			return n.applyErr
		},
	}
	for _, f := range edit {
		f(&opt)
	}
	n.Source = check.Must[*Source](env.t)(NewSource(opt))
	env.t.Cleanup(n.Close)
	return n
}

// has reports whether the node's configuration has the given version and digest.
func (n *testNode) has(version uint64, digest configlog.Digest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Version() == version && n.state.Digest() == digest
}

// counts returns the numbers of calls of Install and Apply.
func (n *testNode) counts() (installs, changes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.installs), len(n.changes)
}

// awaitInSync waits until the configuration of all nodes is that of the voters.
func awaitInSync(t *testing.T, what string, v interface {
	position() (uint64, configlog.Digest)
}, nodes ...*testNode) {
	t.Helper()
	version, digest := v.position()
	check.Eventually(t, what, func() bool {
		for _, n := range nodes {
			if !n.has(version, digest) {
				return false
			}
		}
		return true
	})
}

// testCluster is a cluster of three voters.
type testCluster struct {
	*consensus.Client
	state *configlog.State // what the voters have committed
}

func (env *testEnv) cluster() *testCluster {
	env.t.Helper()
	addrs := make(map[string]string)
	var all []string
	for _, n := range []string{"a", "b", "c"} {
		addrs[n] = check.UnusedAddr(env.t)
		all = append(all, addrs[n])
	}
	for n, addr := range addrs {
		dir := filepath.Join(env.t.TempDir(), n)
		if err := consensus.Bootstrap(dir, n, addrs); err != nil {
			env.t.Fatal(err)
		}
		v := check.Must[*consensus.Voter](env.t)(consensus.Start(consensus.Options{Listen: addr, Dir: dir, Files: env.files(consensus.VoterName), Log: env.log}))
		env.t.Cleanup(v.Close)
	}
	c := check.Must[*consensus.Client](env.t)(consensus.NewClient(all, env.files("relay")))
	env.t.Cleanup(c.Close)
	return &testCluster{c, configlog.New()}
}

func (cluster *testCluster) propose(t *testing.T, pool, value string) {
	t.Helper()
	c := proposal(cluster.state, pool, value)
	ctx, cancel := context.WithTimeout(t.Context(), check.Timeout)
	defer cancel()
	v, err := cluster.Propose(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	if change, err := cluster.state.Propose(c); err != nil || change.Version != v {
		t.Fatalf("the cluster committed version %d, the copy of its state has version %d: %v", v, change.Version, err)
	}
}

func (cluster *testCluster) position() (uint64, configlog.Digest) {
	return cluster.state.Version(), cluster.state.Digest()
}

// scriptedRelay starts a relay that calls script for each connection, and then reads until the node closes the stream.
func (env *testEnv) scriptedRelay(script func(c net.Conn, resumed <-chan configlog.Resume) error) RelayAddress {
	env.t.Helper()
	credentials, err := env.files(RelayName).Load("")
	if err != nil {
		env.t.Fatal(err)
	}
	ln := check.Must[net.Listener](env.t)(tls.Listen("tcp", "127.0.0.1:0", credentials))
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer conn.Close()
				resumed := make(chan configlog.Resume, 100)
				running.Go(func() {
					defer close(resumed)
					for {
						text, err := readFrame(conn, nil, maxNodeFrame)
						if err != nil {
							return
						}
						if r, err := configlog.DecodeResume(text); err == nil {
							resumed <- r
						}
					}
				})
				if script(conn, resumed) == nil {
					for range resumed { // received until the node closes the stream
					}
				}
			})
		}
	})
	env.t.Cleanup(func() {
		ln.Close()
		running.Wait()
	})
	return relayAt(ln.Addr().String())
}

func sendMessages(c net.Conn, messages ...configlog.Message) error {
	for _, m := range messages {
		if err := writeFrames(c, encodeMessage(m)); err != nil {
			return err
		}
	}
	return nil
}

// dial connects to a relay with a node's certificate.
func (env *testEnv) dial(addr string) net.Conn {
	env.t.Helper()
	credentials, err := env.files("node").Load(RelayName)
	if err != nil {
		env.t.Fatal(err)
	}
	c := check.Must[*tls.Conn](env.t)(tls.Dial("tcp", addr, credentials))
	env.t.Cleanup(func() { c.Close() })
	return c
}

// partitionProxy forwards connections to an address, except while it is partitioned.
type partitionProxy struct {
	ln          net.Listener
	to          string
	mu          sync.Mutex
	partitioned bool
	conns       map[net.Conn]bool
}

func newPartitionProxy(t *testing.T, to string) *partitionProxy {
	t.Helper()
	proxy := &partitionProxy{ln: check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0")), to: to, conns: make(map[net.Conn]bool)}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := proxy.ln.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer conn.Close()
				server, err := net.Dial("tcp", proxy.to)
				if err != nil {
					return
				}
				defer server.Close()
				if !proxy.track(conn, server) {
					return
				}
				running.Go(func() {
					_, _ = bufio.NewReader(server).WriteTo(conn)
					conn.Close()
				})
				_, _ = bufio.NewReader(conn).WriteTo(server)
			})
		}
	})
	t.Cleanup(func() {
		proxy.ln.Close()
		proxy.setPartitioned(true)
		running.Wait()
	})
	return proxy
}

// track records connections for setPartitioned to close. It returns false while the proxy is partitioned.
func (p *partitionProxy) track(all ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range all {
		p.conns[c] = true
	}
	return !p.partitioned
}

// setPartitioned starts or ends a partition. At its start it closes all connections; during it new ones are closed.
func (p *partitionProxy) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partitioned = partitioned; partitioned {
		for c := range p.conns {
			c.Close()
		}
		clear(p.conns)
	}
}
