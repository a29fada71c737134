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

// zoneRegions has the region of each zone, and machineZones the zone of each machine, as docs/CAPACITY.md
// lays them out. All machines are relays, the first of them voters, too.
var (
	zoneRegions  = []int{1, 1, 1, 2, 2, 3, 3, 4, 4}
	machineZones = []int{0, 3, 5, 7, 1, 4, 6, 8, 2, 0, 3, 5, 7, 4, 6}
)

// zoneAndRegion are the names of a zone and of its region.
func zoneAndRegion(zone int) (name, region string) {
	return fmt.Sprint("z", zone), fmt.Sprint("r", zoneRegions[zone])
}

// countInZone is how many of n nodes are in a zone.
func countInZone(zone, n int) int { return (n + len(zoneRegions) - 1 - zone) / len(zoneRegions) }

// machine is a voter or a relay.
type machine struct {
	*testbed.Process
	zone  int
	start func() (*testbed.Process, error) // starts it at its address
	down  bool                             // killed, and not restarted yet
}

func (m *machine) kill() {
	m.Kill()
	m.down = true
}

// configCluster is a group of voters and relays, each a process, and the nodes that follow them. One
// goroutine uses it, except for the fields guarded by mu.
type configCluster struct {
	dir        string
	auth       *emulator.Authority
	files      mtls.Files          // of the nodes
	voters     map[string]*machine // by address
	relays     []*machine
	relayAddrs []configsync.RelayAddress // of relays
	client     *consensus.Client
	version    uint64        // latest that was agreed on
	maxCommit  time.Duration // longest that the voters took to agree, in the present trial

	followers     []*follower
	realNodes     []*realNode
	pollingPaused atomic.Bool      // real nodes' admin addresses are not polled
	dying         *testbed.Process // nodes that die in a trial, and are not measured; nil until started

	mu          sync.Mutex
	proposedAt  map[uint64]time.Time    // by version
	latency     *hdrhistogram.Histogram // in us, from a proposal until it is in force at a node; nil between trials
	maxFollower time.Duration           // longest of them at a follower
	maxReal     time.Duration           // and until a real node's metrics show it
	maxPoll     time.Duration           // longest from one poll of a real node until the next
	maxLateness time.Duration           // longest that this process was late by itself
}

// newConfigCluster starts voters and relays. After an error what it has started is returned, too.
func newConfigCluster(ctx context.Context, voters, relays int) (*configCluster, error) {
	c := &configCluster{voters: make(map[string]*machine), proposedAt: make(map[uint64]time.Time)}
	var err error
	if c.dir, err = tempDir(); err != nil {
		return c, err
	}
	if c.auth, err = emulator.NewAuthority(c.dir); err != nil {
		return c, err
	}
	addrs, err := c.startVoters(voters)
	if err != nil {
		return c, err
	}
	for i := range relays {
		if err := c.startRelay(i, addrs); err != nil {
			return c, err
		}
	}
	if c.files, err = issueFiles(c.auth, "node"); err != nil {
		return c, err
	}
	if c.client, err = consensus.NewClient(addrs, c.files); err != nil {
		return c, err
	}
	startCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err = c.client.Read(startCtx, consensus.ReadRequest{})
	return c, err
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

// startRelay starts the i-th relay, at an address that it keeps when it restarts.
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

// startMachine starts a voter or a relay on the i-th machine, with a certificate for a name.
func (c *configCluster) startMachine(i int, kind, name string, args ...string) (*machine, error) {
	m := &machine{zone: machineZones[i]}
	var err error
	if m.start, err = c.prepareChild(kind, name, args...); err != nil {
		return nil, err
	}
	m.Process, err = m.start()
	return m, err
}

// prepareChild issues a certificate for a child, and returns a function that starts it.
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
	if c.dying != nil {
		c.dying.Kill()
	}
	for _, m := range c.machines() {
		m.Kill()
	}
	_ = os.RemoveAll(c.dir)
}

// machines are all relays and voters.
func (c *configCluster) machines() []*machine {
	return slices.AppendSeq(slices.Clone(c.relays), maps.Values(c.voters))
}

// propose proposes a change, and waits until the voters have agreed on it.
func (c *configCluster) propose(ctx context.Context, records ...configlog.Record) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	began := time.Now()
	c.mu.Lock()
	c.proposedAt[c.version+1] = began
	c.mu.Unlock()
	version, err := c.client.Propose(ctx, configlog.Change{BaseVersion: c.version, Author: "experiment", UnixMillis: time.Now().UnixMilli(), Records: records})
	if err == nil && version != c.version+1 {
		err = fmt.Errorf("version %d after %d", version, c.version)
	}
	c.version, c.maxCommit = version, max(c.maxCommit, time.Since(began))
	return err
}

// leader is the voter that leads.
func (c *configCluster) leader(ctx context.Context) (*machine, error) {
	for addr, m := range c.voters {
		if s, err := c.client.Status(ctx, addr); err == nil && s.IsLeader {
			return m, nil
		}
	}
	return nil, errNoLeader
}

// killLeader kills the voter that leads.
func (c *configCluster) killLeader(ctx context.Context) error {
	m, err := c.leader(ctx)
	if err == nil {
		m.kill()
	}
	return err
}

// killZone kills a zone's voter, relays and nodes at once.
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

// restartKilled starts all that was killed, and waits until nodes, relays and voters are in sync.
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

// restartMachines starts the machines that were killed, and returns the relays among them.
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

// awaitRelay waits until a relay gives the latest version to a node that knows no other relay.
func (c *configCluster) awaitRelay(ctx context.Context, relay configsync.RelayAddress) error {
	s, err := configsync.NewSource(configsync.SourceOptions{
		Name: "probe", Relays: []configsync.RelayAddress{relay}, Files: c.files, Log: discardLog(), Install: ignoreSnapshot, Apply: ignoreChange,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	return awaitLevel(ctx, relay.Name, func() bool {
		status := s.Status()
		return status.InSync && status.Version == c.version
	})
}

// awaitVoters waits until each voter has applied what any other has.
func (c *configCluster) awaitVoters(ctx context.Context) error {
	var applied uint64 // most of any voter
	return awaitLevel(ctx, "a voter", func() bool {
		level := true
		for addr := range c.voters {
			s, err := c.client.Status(ctx, addr)
			level = level && err == nil && s.AppliedIndex >= applied
			applied = max(applied, s.AppliedIndex)
		}
		return level
	})
}

// awaitLevel waits for a condition for as long as nodes may take to be in sync.
func awaitLevel(ctx context.Context, what string, isLevel func() bool) error {
	for began := time.Now(); time.Since(began) < syncTimeout && ctx.Err() == nil; time.Sleep(syncPoll) {
		if isLevel() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not level within %v", errBound, what, syncTimeout)
}

// startDying starts the nodes that die in a trial, no more than those that stay.
func (c *configCluster) startDying() error {
	relays, err := json.Marshal(c.relayAddrs)
	if err != nil {
		return fmt.Errorf("encoding the relays: %w", err)
	}
	start, err := c.prepareChild(followersChild, "node", string(relays), fmt.Sprint(min(maxDying, len(c.followers))))
	if err != nil {
		return err
	}
	c.dying, err = start()
	return err
}

// stopDying stops those nodes: their streams stay open and nothing comes from them any more, as when a
// machine loses its power.
func (c *configCluster) stopDying() error { return c.dying.Signal(syscall.SIGSTOP) }
