package testbed

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/slowstart"
)

// SlowStartOptions say how many processes send to how many servers, some of which are in slow start.
type SlowStartOptions struct {
	Nodes, Servers int
	Scenario       string // one of ColdKinds
	Dir            string // for files and logs
	Seed           uint64
	// StartNode starts a node with its configuration file.
	StartNode func(dir, name, file string) (*Process, error)
	// CalmFor is for how long nothing happens, For how long servers are watched from then on.
	CalmFor, WatchFor time.Duration
}

// The scenarios.
const (
	newcomers  = "newcomers"   // servers join under a burst
	uneven     = "uneven"      // likewise, and nodes get uneven traffic
	zone       = "zone"        // a zone's servers end, and return in slow start
	silentZone = "silent zone" // a zone's servers are silent, and return in slow start
	anew       = "anew"        // servers join, and all nodes restart at once
)

// SlowStartScenarios are the scenarios.
var SlowStartScenarios = []string{newcomers, uneven, zone, silentZone, anew}

// ErrUnknownScenario says that ColdOptions.Kind is none of ColdKinds.
var ErrUnknownScenario = errors.New("unknown slow start scenario")

// The servers and their load. The slow start settings are those that operators use.
const (
	zoneCount          = 3
	coresPerServer     = 2
	meanWork           = 60 * time.Millisecond
	slowStartShare     = 0.13 // of its speed, that a server starts with
	slowStartMultiple  = 2.5  // of its present capacity, that a server may be sent
	slowStartBudget    = time.Second
	slowStartWindow    = 23 * time.Second
	baseLoad           = 0.6 // of the capacity of all servers
	burstLoad          = 0.3 // likewise, on top while some are in slow start
	joiningShare       = 0.4 // servers that join, of those that there are
	zoneAbsence        = 2 * time.Second
	discoveryDelay     = 300 * time.Millisecond // from a start until discovery announces it
	trafficSpread      = 0.8                    // of uneven traffic: standard deviation of its logarithm
	slowStartObjective = 750 * time.Millisecond
	slowStartDeadline  = 2500 * time.Millisecond
)

// SlowStartResult is what servers and clients saw.
type SlowStartResult struct {
	slowstart.Totals
	Clients emulator.Tally
}

// slowStartRun is a scenario that is being run. One goroutine uses it.
type slowStartRun struct {
	SlowStartOptions
	random    *rand.Rand
	servers   []*emulator.Server
	discovery *emulator.Discovery
	addrs     []string // of the nodes
	processes []*Process
}

// RunSlowStart runs a scenario with real processes, in real time. It ends all that it started.
func RunSlowStart(ctx context.Context, o SlowStartOptions) (*SlowStartResult, error) {
	if !slices.Contains(SlowStartScenarios, o.Scenario) {
		return nil, fmt.Errorf("%w: %q, want one of %v", ErrUnknownScenario, o.Scenario, SlowStartScenarios)
	}
	c := &slowStartRun{SlowStartOptions: o, random: rand.New(rand.NewPCG(o.Seed, 5)), processes: make([]*Process, o.Nodes)}
	defer c.close()
	if err := c.setUp(); err != nil {
		return nil, err
	}
	shares := c.drawTrafficShares()
	loads := c.startLoad(ctx, shares, baseLoad, o.CalmFor+o.WatchFor, 2*o.Seed)
	if !emulator.Sleep(ctx, o.CalmFor) {
		return nil, ctx.Err()
	}
	loads = append(loads, c.startLoad(ctx, shares, burstLoad, o.WatchFor, 2*o.Seed+1)...)
	if err := c.runScenario(ctx); err != nil {
		return nil, err
	}
	return c.collect(loads), ctx.Err()
}

// collect waits for all loads and sums up what clients and servers saw.
func (c *slowStartRun) collect(loads []*emulator.Running) *SlowStartResult {
	r := &SlowStartResult{}
	for _, l := range loads {
		for _, tally := range l.Wait() {
			r.Clients.Add(tally)
		}
	}
	for _, s := range c.servers {
		r.Merge(s.Starts())
	}
	return r
}

// setUp starts the servers, discovery and the nodes.
func (c *slowStartRun) setUp() error {
	for range c.Servers {
		if err := c.startServer(slowStartWindow); err != nil {
			return err
		}
	}
	var err error
	if c.discovery, err = emulator.NewDiscovery(c.listedServers()...); err != nil {
		return err
	}
	for range c.Nodes {
		addr, err := emulator.UnusedAddr()
		if err != nil {
			return err
		}
		c.addrs = append(c.addrs, addr)
	}
	return c.startNodes()
}

// startServer starts one more server that has been up for some time.
func (c *slowStartRun) startServer(uptime time.Duration) error {
	addr, err := emulator.UnusedAddr()
	if err != nil {
		return err
	}
	server, err := emulator.NewServer(emulator.ServerSettings{
		Listen: addr, Cores: coresPerServer, Queue: 8 * coresPerServer, Work: meanWork,
		SlowStartShare: slowStartShare, SlowStartWindow: slowStartWindow, Uptime: uptime,
		Rule: slowstart.Rule{Multiple: slowStartMultiple, Window: slowStartBudget},
	})
	if err == nil {
		c.servers = append(c.servers, server)
	}
	return err
}

// zoneName is the zone of the i-th server or node: they are spread evenly.
func zoneName(i int) string { return string(rune('a' + i%zoneCount)) }

// listedServers are the servers as discovery is to list them.
func (c *slowStartRun) listedServers() []emulator.Entry {
	var list []emulator.Entry
	for i, s := range c.servers {
		e := s.Entry()
		e.Site = zoneName(i)
		list = append(list, e)
	}
	return list
}

// announce lists all servers that have started so far.
func (c *slowStartRun) announce(ctx context.Context) error {
	if !emulator.Sleep(ctx, discoveryDelay) {
		return ctx.Err()
	}
	c.discovery.SetList(c.listedServers()...)
	for _, s := range c.servers {
		s.MarkAnnounced()
	}
	return nil
}

// startNodes starts all nodes at once, and returns one of the errors.
func (c *slowStartRun) startNodes() error {
	errs := make(chan error, c.Nodes)
	for i := range c.Nodes {
		go func() { errs <- c.startNode(i) }()
	}
	var first error
	for range c.Nodes {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (c *slowStartRun) startNode(i int) error {
	name := fmt.Sprintf("n%02d", i)
	file := filepath.Join(c.Dir, name+".toml")
	if err := os.WriteFile(file, []byte(c.nodeConfig(i, name)), 0o600); err != nil {
		return fmt.Errorf("writing a node's configuration: %w", err)
	}
	p, err := c.StartNode(c.Dir, name, file)
	c.processes[i] = p
	return err
}

func (c *slowStartRun) nodeConfig(i int, name string) string {
	return fmt.Sprintf(`[node]
name = %q
listen = [%q]
number = %d
nodes = %d
[[service]]
name = "s"
[[service.route]]
pool = "p"
[[pool]]
name = "p"
protocol = "platform"
discovery = %q
zones = ["a", "b", "c"]
zone = %q
cross_cost = 0.12
[pool.cold]
start = %v
multiple = %v
warm = %q
[[pool.class]]
name = "look"
repeat = "safe"
aim = "750ms"
deadline = "2500ms"
`, name, c.addrs[i], i, c.Nodes, c.discovery.Addr, zoneName(i), slowStartShare, slowStartMultiple, slowStartWindow)
}

// drawTrafficShares draws each node's share of the traffic.
func (c *slowStartRun) drawTrafficShares() []float64 {
	shares, sum := make([]float64, c.Nodes), 0.0
	for i := range shares {
		shares[i] = 1
		if c.Scenario != newcomers && c.Scenario != anew {
			shares[i] = math.Exp(trafficSpread * c.random.NormFloat64())
		}
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// startLoad sends each node its share of a load, which is given as a part of the servers' capacity.
func (c *slowStartRun) startLoad(ctx context.Context, shares []float64, capacityShare float64, duration time.Duration, seed uint64) []*emulator.Running {
	rate := capacityShare * float64(c.Servers*coresPerServer) / meanWork.Seconds()
	var all []*emulator.Running
	for i, share := range shares {
		load := &emulator.Load{
			Addr: c.addrs[i], Rate: rate * share, Duration: duration, Seed: seed<<16 + uint64(i), Retries: 1,
			Kinds: []emulator.RequestKind{{
				Class: "look", Path: "/look/", Method: "GET", Weight: 1, Work: meanWork,
				LatencyObjective: slowStartObjective, Deadline: slowStartDeadline,
			}},
		}
		all = append(all, load.Start(ctx))
	}
	return all
}

// runScenario has happen what the scenario is about.
func (c *slowStartRun) runScenario(ctx context.Context) error {
	switch c.Scenario {
	case zone, silentZone:
		return c.loseZone(ctx)
	case anew:
		if err := c.addServers(ctx); err != nil {
			return err
		}
		for _, p := range c.processes {
			p.Kill()
		}
		return c.startNodes()
	default:
		return c.addServers(ctx)
	}
}

// loseZone takes the servers of the first zone away for a time. They return in slow start.
func (c *slowStartRun) loseZone(ctx context.Context) error {
	var lost []*emulator.Server
	for i := 0; i < len(c.servers); i += zoneCount {
		lost = append(lost, c.servers[i])
		if c.Scenario == zone {
			_ = c.servers[i].Close()
		} else {
			c.servers[i].SetMode(emulator.Silent)
		}
	}
	if !emulator.Sleep(ctx, zoneAbsence) {
		return ctx.Err()
	}
	for _, s := range lost {
		if err := s.Restart(); err != nil {
			return err
		}
	}
	return c.announce(ctx)
}

// addServers has servers join that have just started.
func (c *slowStartRun) addServers(ctx context.Context) error {
	for range int(joiningShare * float64(c.Servers)) {
		if err := c.startServer(0); err != nil {
			return err
		}
	}
	return c.announce(ctx)
}

// close ends all that runs.
func (c *slowStartRun) close() {
	var ending sync.WaitGroup
	for _, p := range c.processes {
		if p != nil {
			ending.Go(p.Kill)
		}
	}
	ending.Wait()
	for _, s := range c.servers {
		_ = s.Close()
	}
	if c.discovery != nil {
		_ = c.discovery.Close()
	}
}
