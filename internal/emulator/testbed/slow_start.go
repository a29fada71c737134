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

// SlowStartOptions configures a slow-start scenario: nodes send requests to servers, some of which are in slow
// start.
type SlowStartOptions struct {
	Nodes, Servers int
	Scenario       string // one of SlowStartScenarios
	Dir            string // directory of configuration files and logs
	Seed           uint64
	// StartNode starts a node with its configuration file.
	StartNode func(dir, name, file string) (*Process, error)
	// WarmUp is the time before the event of the scenario, Duration the time for which the servers are observed
	// after the event.
	WarmUp, Duration time.Duration
}

// The scenarios.
const (
	joiningServers   = "newcomers"   // servers join under a burst
	unevenTraffic    = "uneven"      // servers join under a burst, and the nodes receive uneven traffic
	zoneOutage       = "zone"        // the servers of a zone are closed, and restart in slow start
	silentZoneOutage = "silent zone" // the servers of a zone answer nothing, and restart in slow start
	nodeRestart      = "anew"        // servers join, and all nodes restart at once
)

// SlowStartScenarios are the names of the scenarios.
var SlowStartScenarios = []string{joiningServers, unevenTraffic, zoneOutage, silentZoneOutage, nodeRestart}

// ErrUnknownScenario is returned by RunSlowStart if SlowStartOptions.Scenario is not one of SlowStartScenarios.
var ErrUnknownScenario = errors.New("unknown slow-start scenario")

// The servers and their load. The slow-start settings are those that operators use.
const (
	zoneCount          = 3
	coresPerServer     = 2
	meanWork           = 60 * time.Millisecond
	slowStartShare     = 0.13 // share of its speed that a server has at its start
	slowStartMultiple  = 2.5  // load that a server may be sent, as a multiple of its current capacity
	slowStartBudget    = time.Second
	slowStartWindow    = 23 * time.Second
	baseLoad           = 0.6 // base load, as a share of the capacity of all servers
	burstLoad          = 0.3 // load added while some servers are in slow start, as a share of the capacity of all servers
	joiningShare       = 0.4 // number of servers that join, as a share of those that exist
	outageDuration     = 2 * time.Second
	discoveryDelay     = 300 * time.Millisecond // time from the start of a server until discovery announces the start
	trafficSpread      = 0.8                    // standard deviation of the logarithm of a node's uneven traffic
	slowStartObjective = 750 * time.Millisecond
	slowStartDeadline  = 2500 * time.Millisecond
)

// SlowStartResult contains the counts of the servers and of the clients.
type SlowStartResult struct {
	slowstart.Totals
	ClientTally emulator.Tally
}

// slowStartRun is the run of a scenario. One goroutine uses it.
type slowStartRun struct {
	SlowStartOptions
	random    *rand.Rand
	servers   []*emulator.Server
	discovery *emulator.Discovery
	addrs     []string // addresses of the nodes
	processes []*Process
}

// RunSlowStart runs a scenario with real processes, in real time. It stops everything that it started before it
// returns.
func RunSlowStart(ctx context.Context, o SlowStartOptions) (*SlowStartResult, error) {
	if !slices.Contains(SlowStartScenarios, o.Scenario) {
		return nil, fmt.Errorf("%w: %q, want one of %v", ErrUnknownScenario, o.Scenario, SlowStartScenarios)
	}
	r := &slowStartRun{SlowStartOptions: o, random: rand.New(rand.NewPCG(o.Seed, 5)), processes: make([]*Process, o.Nodes)}
	defer r.close()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	shares := r.drawTrafficShares()
	loads := r.startLoad(ctx, shares, baseLoad, o.WarmUp+o.Duration, 2*o.Seed)
	if !emulator.Sleep(ctx, o.WarmUp) {
		return nil, ctx.Err()
	}
	loads = append(loads, r.startLoad(ctx, shares, burstLoad, o.Duration, 2*o.Seed+1)...)
	if err := r.runScenario(ctx); err != nil {
		return nil, err
	}
	return r.collect(loads), ctx.Err()
}

// collect waits for all loads, and adds up the counts of the clients and of the servers.
func (r *slowStartRun) collect(loads []*emulator.LoadRun) *SlowStartResult {
	result := &SlowStartResult{}
	for _, l := range loads {
		for _, tally := range l.Wait() {
			result.ClientTally.Add(tally)
		}
	}
	for _, s := range r.servers {
		result.Merge(s.Starts())
	}
	return result
}

// setUp starts the servers, discovery and the nodes.
func (r *slowStartRun) setUp() error {
	for range r.Servers {
		if err := r.startServer(slowStartWindow); err != nil {
			return err
		}
	}
	var err error
	if r.discovery, err = emulator.NewDiscovery(r.listedServers()...); err != nil {
		return err
	}
	for range r.Nodes {
		addr, err := emulator.UnusedAddr()
		if err != nil {
			return err
		}
		r.addrs = append(r.addrs, addr)
	}
	return r.startNodes()
}

// startServer starts one more server, which has been up for uptime.
func (r *slowStartRun) startServer(uptime time.Duration) error {
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
		r.servers = append(r.servers, server)
	}
	return err
}

// zoneName returns the zone of the i-th server or node. Servers and nodes are spread evenly over the zones.
func zoneName(i int) string { return string(rune('a' + i%zoneCount)) }

// listedServers returns the endpoint list of all servers.
func (r *slowStartRun) listedServers() []emulator.Entry {
	var list []emulator.Entry
	for i, s := range r.servers {
		e := s.Entry()
		e.Site = zoneName(i)
		list = append(list, e)
	}
	return list
}

// announce lists all servers that have started so far in discovery, after discoveryDelay.
func (r *slowStartRun) announce(ctx context.Context) error {
	if !emulator.Sleep(ctx, discoveryDelay) {
		return ctx.Err()
	}
	r.discovery.SetList(r.listedServers()...)
	for _, s := range r.servers {
		s.MarkAnnounced()
	}
	return nil
}

// startNodes starts all nodes at once, and returns the first error.
func (r *slowStartRun) startNodes() error {
	errs := make(chan error, r.Nodes)
	for i := range r.Nodes {
		go func() { errs <- r.startNode(i) }()
	}
	var first error
	for range r.Nodes {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (r *slowStartRun) startNode(i int) error {
	name := fmt.Sprintf("n%02d", i)
	file := filepath.Join(r.Dir, name+".toml")
	if err := os.WriteFile(file, []byte(r.nodeConfig(i, name)), 0o600); err != nil {
		return fmt.Errorf("writing a node's configuration: %w", err)
	}
	p, err := r.StartNode(r.Dir, name, file)
	r.processes[i] = p
	return err
}

func (r *slowStartRun) nodeConfig(i int, name string) string {
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
`, name, r.addrs[i], i, r.Nodes, r.discovery.Addr, zoneName(i), slowStartShare, slowStartMultiple, slowStartWindow)
}

// drawTrafficShares draws each node's share of the traffic.
func (r *slowStartRun) drawTrafficShares() []float64 {
	shares, sum := make([]float64, r.Nodes), 0.0
	for i := range shares {
		shares[i] = 1
		if r.Scenario != joiningServers && r.Scenario != nodeRestart {
			shares[i] = math.Exp(trafficSpread * r.random.NormFloat64())
		}
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// startLoad sends each node its share of a load. The rate of the whole load is capacityShare of the servers'
// capacity.
func (r *slowStartRun) startLoad(ctx context.Context, shares []float64, capacityShare float64, duration time.Duration, seed uint64) []*emulator.LoadRun {
	rate := capacityShare * float64(r.Servers*coresPerServer) / meanWork.Seconds()
	var all []*emulator.LoadRun
	for i, share := range shares {
		load := &emulator.Load{
			Addr: r.addrs[i], Rate: rate * share, Duration: duration, Seed: seed<<16 + uint64(i), Retries: 1,
			Kinds: []emulator.RequestKind{{
				Class: "look", Path: "/look/", Method: "GET", Weight: 1, Work: meanWork,
				LatencyObjective: slowStartObjective, Deadline: slowStartDeadline,
			}},
		}
		all = append(all, load.Start(ctx))
	}
	return all
}

// runScenario triggers the event of the scenario.
func (r *slowStartRun) runScenario(ctx context.Context) error {
	switch r.Scenario {
	case zoneOutage, silentZoneOutage:
		return r.failZone(ctx)
	case nodeRestart:
		if err := r.addServers(ctx); err != nil {
			return err
		}
		for _, p := range r.processes {
			p.Kill()
		}
		return r.startNodes()
	default:
		return r.addServers(ctx)
	}
}

// failZone closes or silences the servers of the first zone for outageDuration, and restarts them in slow start.
func (r *slowStartRun) failZone(ctx context.Context) error {
	var failed []*emulator.Server
	for i := 0; i < len(r.servers); i += zoneCount {
		failed = append(failed, r.servers[i])
		if r.Scenario == zoneOutage {
			_ = r.servers[i].Close()
		} else {
			r.servers[i].SetMode(emulator.Silent)
		}
	}
	if !emulator.Sleep(ctx, outageDuration) {
		return ctx.Err()
	}
	for _, s := range failed {
		if err := s.Restart(); err != nil {
			return err
		}
	}
	return r.announce(ctx)
}

// addServers starts further servers and announces them.
func (r *slowStartRun) addServers(ctx context.Context) error {
	for range int(joiningShare * float64(r.Servers)) {
		if err := r.startServer(0); err != nil {
			return err
		}
	}
	return r.announce(ctx)
}

// close stops all processes, servers and discovery.
func (r *slowStartRun) close() {
	var ending sync.WaitGroup
	for _, p := range r.processes {
		if p != nil {
			ending.Go(p.Kill)
		}
	}
	ending.Wait()
	for _, s := range r.servers {
		_ = s.Close()
	}
	if r.discovery != nil {
		_ = r.discovery.Close()
	}
}
