package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasperpin/internal/configlog"
	"jasperpin/internal/configsync"
	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/mtls"
)

// zoneRegions has the region of each zone, and machineZones the zone of each machine, as in the layout of
// docs/CAPACITY.md. Each machine runs a relay, and the first ones also run a voter.
var (
	zoneRegions  = []int{1, 1, 1, 2, 2, 3, 3, 4, 4}
	machineZones = []int{0, 3, 5, 7, 1, 4, 6, 8, 2, 0, 3, 5, 7, 4, 6}
)

// zoneAndRegion returns the names of a zone and of its region.
func zoneAndRegion(zone int) (name, region string) {
	return fmt.Sprint("z", zone), fmt.Sprint("r", zoneRegions[zone])
}

// countInZone returns how many of n nodes, assigned to zones round robin, are in a zone.
func countInZone(zone, n int) int { return (n + len(zoneRegions) - 1 - zone) / len(zoneRegions) }

// machine is the process of a voter or of a relay.
type machine struct {
	*testbed.Process
	zone  int
	start func() (*testbed.Process, error) // starts the process, always with the same address
	down  bool                             // the machine was killed and is not yet restarted
}

func (m *machine) kill() {
	m.Kill()
	m.down = true
}

// configCluster consists of voters and relays, each a process, and the nodes that receive their configuration from
// the relays. Only one goroutine may use it, except for pollingPaused and the fields guarded by mu.
type configCluster struct {
	dir        string
	auth       *emulator.Authority
	files      mtls.Files          // certificate files of the nodes
	voters     map[string]*machine // voters by address
	relays     []*machine
	relayAddrs []configsync.RelayAddress // addresses in the order of relays
	client     *consensus.Client
	version    uint64        // latest committed version
	maxCommit  time.Duration // longest time until the voters committed a change, in the current trial

	followers     []*follower
	realNodes     []*realNode
	pollingPaused atomic.Bool      // whether real nodes' admin addresses are not polled
	failingNodes  *testbed.Process // nodes that fail in a trial and are not measured; nil until started

	mu                 sync.Mutex
	proposedAt         map[uint64]time.Time    // time of each proposal by version
	latency            *hdrhistogram.Histogram // time in us from a proposal until a node has applied it; nil between trials
	maxFollowerLatency time.Duration           // highest latency at a follower
	maxRealLatency     time.Duration           // highest latency until a real node's metrics show the change
	maxPollInterval    time.Duration           // longest time between two polls of a real node
	maxLateness        time.Duration           // longest delay of a timer in this process
}

// newConfigCluster starts voters and relays. The caller must close the returned cluster, even after an error.
func newConfigCluster(ctx context.Context, voters, relays int) (*configCluster, error) {
	cluster := &configCluster{voters: make(map[string]*machine), proposedAt: make(map[uint64]time.Time)}
	var err error
	if cluster.dir, err = tempDir(); err != nil {
		return cluster, err
	}
	if cluster.auth, err = emulator.NewAuthority(cluster.dir); err != nil {
		return cluster, err
	}
	addrs, err := cluster.startVoters(voters)
	if err != nil {
		return cluster, err
	}
	for i := range relays {
		if err := cluster.startRelay(i, addrs); err != nil {
			return cluster, err
		}
	}
	if cluster.files, err = issueFiles(cluster.auth, "node"); err != nil {
		return cluster, err
	}
	if cluster.client, err = consensus.NewClient(addrs, cluster.files); err != nil {
		return cluster, err
	}
	startCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err = cluster.client.Read(startCtx, consensus.ReadRequest{})
	return cluster, err
}

// startVoters starts the voters, and returns their addresses.
func (c *configCluster) startVoters(n int) ([]string, error) {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("v", i))
	}
	set, err := newVoterSet(names...)
	if err != nil {
		return nil, err
	}
	dirOf := func(name string) string { return voterDir(c.dir, name) }
	err = set.bootstrap(dirOf, func(name string) error {
		m, err := c.startMachine(len(c.voters), voterChild, consensus.VoterName, set.addrs[name], dirOf(name))
		if err == nil {
			c.voters[set.addrs[name]] = m
		}
		return err
	})
	return set.list(), err
}

// startRelay starts the i-th relay, at an address that stays the same across restarts.
func (c *configCluster) startRelay(i int, voters []string) error {
	addr, err := emulator.UnusedAddr()
	if err != nil {
		return err
	}
	m, err := c.startMachine(i, relayChild, configsync.RelayName, strings.Join(voters, ","), addr)
	if err != nil {
		return err
	}
	zone, region := zoneAndRegion(m.zone)
	c.relays = append(c.relays, m)
	c.relayAddrs = append(c.relayAddrs, configsync.RelayAddress{Peer: configlog.Peer{Name: fmt.Sprint("relay", i), Zone: zone, Region: region}, Addr: addr})
	return nil
}

// startMachine starts a voter or a relay on the i-th machine, with a certificate for name.
func (c *configCluster) startMachine(i int, kind, name string, args ...string) (*machine, error) {
	m := &machine{zone: machineZones[i]}
	var err error
	if m.start, err = c.prepareChild(kind, name, args...); err != nil {
		return nil, err
	}
	m.Process, err = m.start()
	return m, err
}

// prepareChild issues a certificate for a child, and returns a function that starts the child.
func (c *configCluster) prepareChild(kind, name string, args ...string) (func() (*testbed.Process, error), error) {
	files, err := issueFiles(c.auth, name)
	return func() (*testbed.Process, error) {
		return startChild(c.dir, kind, configChildArgs{files, args}.list()...)
	}, err
}

func (c *configCluster) close() {
	var closing sync.WaitGroup
	for _, n := range c.followers {
		closing.Go(n.Close)
	}
	for _, n := range c.realNodes {
		closing.Go(n.kill)
	}
	closing.Wait()
	if c.client != nil {
		c.client.Close()
	}
	if c.failingNodes != nil {
		c.failingNodes.Kill()
	}
	for _, m := range c.machines() {
		m.Kill()
	}
	_ = os.RemoveAll(c.dir)
}

// machines returns all relays and voters.
func (c *configCluster) machines() []*machine {
	return slices.AppendSeq(slices.Clone(c.relays), maps.Values(c.voters))
}

// propose proposes a change, and waits until the voters have committed it.
func (c *configCluster) propose(ctx context.Context, records ...configlog.Record) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	began := time.Now()
	c.mu.Lock()
	c.proposedAt[c.version+1] = began
	c.mu.Unlock()
	version, err := c.client.Propose(ctx, configlog.Change{BaseVersion: c.version, Author: "experiment", UnixMillis: time.Now().UnixMilli(), Records: records})
	if err == nil && version != c.version+1 {
		err = fmt.Errorf("proposing a change: got version %d after version %d", version, c.version)
	}
	c.version, c.maxCommit = version, max(c.maxCommit, time.Since(began))
	return err
}

// leader returns the voter that is the leader.
func (c *configCluster) leader(ctx context.Context) (*machine, error) {
	for addr, m := range c.voters {
		if s, err := c.client.Status(ctx, addr); err == nil && s.IsLeader {
			return m, nil
		}
	}
	return nil, errNoLeader
}

// killLeader kills the voter that is the leader.
func (c *configCluster) killLeader(ctx context.Context) error {
	m, err := c.leader(ctx)
	if err == nil {
		m.kill()
	}
	return err
}

// killZone kills a zone's voters, relays and nodes at the same time.
func (c *configCluster) killZone(zone int) {
	var killing sync.WaitGroup
	for _, m := range c.machines() {
		if m.zone == zone {
			killing.Go(m.kill)
		}
	}
	for i, n := range c.followers {
		if i%len(zoneRegions) == zone {
			n.down = true
			killing.Go(n.Close)
		}
	}
	for i, n := range c.realNodes {
		if i%len(zoneRegions) == zone {
			n.down = true
			killing.Go(n.kill)
		}
	}
	killing.Wait()
}

// restartKilled restarts all killed nodes, relays and voters, and waits until they are in sync.
func (c *configCluster) restartKilled(ctx context.Context) error {
	relays, err := c.restartMachines()
	if err != nil {
		return err
	}
	for i, n := range c.followers {
		if n.down {
			if err := c.startFollower(i, false); err != nil {
				return err
			}
		}
	}
	for _, n := range c.realNodes {
		if n.down {
			if err := c.startRealNode(n); err != nil {
				return err
			}
		}
	}
	if err := c.awaitInSync(ctx); err != nil {
		return err
	}
	for _, r := range relays {
		if err := c.awaitRelay(ctx, r); err != nil {
			return err
		}
	}
	return c.awaitVoters(ctx)
}

// restartMachines restarts the killed machines, and returns the addresses of the relays among them.
func (c *configCluster) restartMachines() (relays []configsync.RelayAddress, err error) {
	for i, m := range c.relays {
		if m.down {
			relays = append(relays, c.relayAddrs[i])
		}
	}
	for _, m := range c.machines() {
		if !m.down {
			continue
		}
		p, err := m.start()
		if err != nil {
			return nil, err
		}
		m.Process, m.down = p, false
	}
	return relays, nil
}

// awaitRelay waits until a relay has sent the latest version to a node that is configured with no other relay.
func (c *configCluster) awaitRelay(ctx context.Context, relay configsync.RelayAddress) error {
	s, err := configsync.NewSource(configsync.SourceOptions{
		Name: "probe", Relays: []configsync.RelayAddress{relay}, Files: c.files, Log: discardLog(), Install: ignoreSnapshot, Apply: ignoreChange,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	return awaitCondition(ctx, relay.Name, func() bool {
		status := s.Status()
		return status.InSync && status.Version == c.version
	})
}

// awaitVoters waits until each voter has applied the log entries that any other voter has applied.
func (c *configCluster) awaitVoters(ctx context.Context) error {
	var applied uint64 // highest index at any voter
	return awaitCondition(ctx, "a voter", func() bool {
		inSync := true
		for addr := range c.voters {
			s, err := c.client.Status(ctx, addr)
			inSync = inSync && err == nil && s.AppliedIndex >= applied
			applied = max(applied, s.AppliedIndex)
		}
		return inSync
	})
}

// awaitCondition waits until holds returns true. It fails after syncTimeout, or once ctx is done.
func awaitCondition(ctx context.Context, subject string, holds func() bool) error {
	for began := time.Now(); time.Since(began) < syncTimeout && ctx.Err() == nil; time.Sleep(syncPoll) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not in sync within %v", errBound, subject, syncTimeout)
}

// startFailingNodes starts the nodes that fail in a trial: at most as many as there are followers.
func (c *configCluster) startFailingNodes() error {
	relays, err := json.Marshal(c.relayAddrs)
	if err != nil {
		return fmt.Errorf("encoding the relays: %w", err)
	}
	start, err := c.prepareChild(followersChild, "node", string(relays), fmt.Sprint(min(maxFailingNodes, len(c.followers))))
	if err != nil {
		return err
	}
	c.failingNodes, err = start()
	return err
}

// freezeFailingNodes stops the failing nodes with SIGSTOP: their streams stay open, but they send nothing, as when a
// machine loses power.
func (c *configCluster) freezeFailingNodes() error { return c.failingNodes.Signal(syscall.SIGSTOP) }
