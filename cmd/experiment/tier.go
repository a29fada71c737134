package main

import (
	"context"
	"fmt"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/mtls"
	"jasperpin/internal/plannerrpc"
)

// A tier is servers of different speeds in one zone and, in front of them, either single-level nodes or forwarders
// with planners. All forwarders call the planners in the same order. The 24 servers have cores equivalent to 46.8
// cores of speed 1. With a mean work of 44.6 ms, 1,049 requests per second saturate them.
const (
	tierServers  = 24
	tierNodes    = 4
	tierPlanners = 3
	tierCapacity = 1049.0
	tierWarmUp   = 2500 * time.Millisecond
	tierSpan     = 4 * time.Second
	burstAt      = time.Second
	burstSpan    = 2 * time.Second
	killAt       = 1500 * time.Millisecond // time of the kill, within the burst
	// In a case with restarts, restartCount servers restart. They are restartStride apart in the list of servers.
	restartCount    = 5
	restartInterval = 700 * time.Millisecond
	restartStride   = 7
)

var tierKinds = []emulator.RequestKind{
	{Class: "look", Path: "/look/", Method: "GET", Weight: 0.45, Work: 30 * time.Millisecond, LatencyObjective: 300 * time.Millisecond, Deadline: time.Second},
	{Class: "find", Path: "/find/", Method: "GET", Weight: 0.27, Work: 40 * time.Millisecond, LatencyObjective: 320 * time.Millisecond, Deadline: 1200 * time.Millisecond},
	{Class: "order", Path: "/order/", Method: "POST", Weight: 0.18, Work: 68 * time.Millisecond, LatencyObjective: 800 * time.Millisecond, Deadline: 2400 * time.Millisecond, Keyed: true},
	{Class: "credit", Path: "/credit/", Method: "POST", Weight: 0.10, Work: 80 * time.Millisecond, LatencyObjective: time.Second, Deadline: 2400 * time.Millisecond},
}

// tierClasses is the part of a pool's table that configures the classes of tierKinds.
const tierClasses = `
[pool.cold]
start = 0.13
warm = "5s"
multiple = 2.5
[[pool.class]]
name = "look"
repeat = "safe"
aim = "300ms"
deadline = "1s"
[[pool.class]]
name = "find"
repeat = "safe"
aim = "320ms"
deadline = "1200ms"
[[pool.class]]
name = "order"
repeat = "keyed"
remember = "10s"
aim = "800ms"
deadline = "2400ms"
worth = 5
[[pool.class]]
name = "credit"
repeat = "never"
aim = "1s"
deadline = "2400ms"
worth = 3
`

// tier is a running tier for one case and one seed.
type tier struct {
	tierCase
	seed     uint64
	dir      string
	servers  *tierServerSet
	files    mtls.Files // certificate files of planners and forwarders
	planners []*testbed.Process
	nodes    []*testbed.Process
	result   tierResult
}

// runTier runs one case with one seed.
func runTier(ctx context.Context, dir string, seed uint64, c tierCase) (*tierResult, error) {
	t := &tier{tierCase: c, seed: seed, dir: dir, servers: &tierServerSet{dedup: emulator.NewDedupMemory()}}
	defer t.servers.close()
	defer t.endProcesses()
	if err := t.start(); err != nil {
		return nil, err
	}
	if err := t.sendLoad(ctx); err != nil {
		return nil, err
	}
	if err := t.addProcessorTime(); err != nil {
		return nil, err
	}
	t.endProcesses()
	for _, p := range t.planners {
		t.result.plannerBytes += loggedBytes(p.Logged())
	}
	for _, s := range t.servers.started {
		t.result.executions += s.Counts().Executed
	}
	t.result.twice = executedTwice(t.servers.started)
	return &t.result, ctx.Err()
}

// start starts servers, planners and nodes.
func (t *tier) start() error {
	if err := t.servers.start(); err != nil {
		return err
	}
	auth, err := emulator.NewAuthority(t.dir)
	if err != nil {
		return err
	}
	if t.files, err = issueFiles(auth, plannerrpc.PlannerDNSName); err != nil {
		return err
	}
	if t.withPlanners {
		for n := range tierPlanners {
			p, err := t.startNode(fmt.Sprint("planner", n), t.plannerText(n))
			if err != nil {
				return err
			}
			t.planners = append(t.planners, p)
		}
	}
	for n := range tierNodes {
		p, err := t.startNode(fmt.Sprint("node", n), t.nodeText(n))
		if err != nil {
			return err
		}
		t.nodes = append(t.nodes, p)
	}
	return nil
}

// startNode writes the configuration file of a planner or a node, and starts the process.
func (t *tier) startNode(name, text string) (*testbed.Process, error) {
	file := filepath.Join(t.dir, name+".toml")
	if err := writeNodeFile(file, text); err != nil {
		return nil, err
	}
	return startChild(t.dir, nodeChild, file)
}

// endProcesses terminates all processes. It may be called more than once.
func (t *tier) endProcesses() {
	for _, p := range slices.Concat(t.nodes, t.planners) {
		_ = p.Terminate()
	}
}

// certificateText returns the lines of a configuration file about certificates.
func (t *tier) certificateText() string {
	return fmt.Sprintf("certificate = %q\nkey = %q\nauthorities = %q\n", t.files.Certificate, t.files.Key, t.files.Authorities)
}

// poolText returns the pool's table.
func (t *tier) poolText() string {
	return fmt.Sprintf("[[pool]]\nname = \"app\"\nprotocol = \"platform\"\nshare = 1.0\ndiscovery = %q\n%s", t.servers.discovery.Addr, tierClasses)
}

// plannerText returns the configuration file of the n-th planner.
func (t *tier) plannerText(n int) string {
	return fmt.Sprintf("[node]\nname = \"p%d\"\nrole = \"planner\"\nseed = %d\n[planning]\nlisten = [\"127.0.0.1:0\"]\n", n, t.seed) +
		t.certificateText() + t.poolText()
}

// nodeText returns the configuration file of the n-th node, which is a forwarder if there are planners.
func (t *tier) nodeText(n int) string {
	text := fmt.Sprintf("[node]\nname = \"n%d\"\nlisten = [\"127.0.0.1:0\"]\nnumber = %d\nnodes = %d\nseed = %d\n", n, n, tierNodes, t.seed*10+uint64(n))
	if len(t.planners) > 0 {
		var addrs []string
		for _, p := range t.planners {
			addrs = append(addrs, p.Announcement)
		}
		text += "role = \"forwarder\"\n[planning]\nplanners = [\"" + strings.Join(addrs, "\", \"") + "\"]\n" + t.certificateText()
	}
	return text + "[limits]\nmemory = \"128MB\"\ndescriptors = 1024\n[[service]]\nname = \"app\"\n[[service.route]]\npool = \"app\"\n" + t.poolText()
}

// startLoad starts a load on all nodes, evenly. share is its rate as a share of the servers' capacity.
func (t *tier) startLoad(ctx context.Context, share float64, duration time.Duration, seed uint64, prefix string) []*emulator.LoadRun {
	var all []*emulator.LoadRun
	for n, p := range t.nodes {
		l := &emulator.Load{
			Addr: p.Announcement, Host: "app", Rate: share * tierCapacity / tierNodes, Duration: duration, Seed: seed*100 + uint64(n),
			Kinds: tierKinds, IDPrefix: fmt.Sprintf("%s%d-", prefix, n), Retries: 1,
		}
		all = append(all, l.Start(ctx))
	}
	return all
}

// awaitLoads waits for loads, and adds the results of their clients to a tally.
func (t *tier) awaitLoads(loads []*emulator.LoadRun, into *emulator.Tally) {
	for _, l := range loads {
		tally := totalOf(l.Wait())
		into.Add(&tally)
		t.result.attempts += int64(tally.Attempts)
	}
}

// sendLoad sends a warm-up, which is not counted, and then the load with the case's burst and faults.
func (t *tier) sendLoad(ctx context.Context) error {
	var warmUp emulator.Tally
	t.awaitLoads(t.startLoad(ctx, t.load, tierWarmUp, t.seed+50, "w"), &warmUp)
	began := time.Now()
	var background sync.WaitGroup
	var burst []*emulator.LoadRun
	var restartErr error
	if t.burst > 0 {
		background.Go(func() {
			if emulator.Sleep(ctx, time.Until(began.Add(burstAt))) {
				burst = t.startLoad(ctx, t.burst, burstSpan, t.seed+70, "b")
			}
		})
	}
	if t.killed > 0 {
		background.Go(func() {
			if emulator.Sleep(ctx, time.Until(began.Add(killAt))) {
				for _, p := range t.planners[:t.killed] {
					p.Kill()
				}
			}
		})
	}
	if t.restarts {
		background.Go(func() { restartErr = t.restartServers(ctx, began) })
	}
	load := t.startLoad(ctx, t.load, tierSpan, t.seed, "m")
	background.Wait()
	t.awaitLoads(load, &t.result.Tally)
	t.awaitLoads(burst, &t.result.Tally)
	return restartErr
}

// restartServers restarts some servers, one after another, and returns the last error.
func (t *tier) restartServers(ctx context.Context, began time.Time) (last error) {
	for n := range restartCount {
		if !emulator.Sleep(ctx, time.Until(began.Add(time.Duration(n)*restartInterval))) {
			continue
		}
		if err := t.servers.restart((n*restartStride + int(t.seed)) % tierServers); err != nil {
			last = err
		}
	}
	return last
}

// addProcessorTime adds the processor time of the processes to the result, except that of killed planners, which
// cannot be read.
func (t *tier) addProcessorTime() error {
	for _, p := range t.nodes {
		used, err := p.CPU()
		if err != nil {
			return err
		}
		t.result.nodeCPU += used
	}
	for i, p := range t.planners {
		if i < t.killed {
			continue
		}
		used, err := p.CPU()
		if err != nil {
			return err
		}
		t.result.plannerCPU += used
	}
	return nil
}

// connectionEndLog matches the log line about the end of a forwarder's connection.
var connectionEndLog = regexp.MustCompile(`bytes_heard=(\d+) bytes_said=(\d+)`)

// loggedBytes returns the sum of the bytes of all connections in a planner's log.
func loggedBytes(log string) (sum int64) {
	for _, found := range connectionEndLog.FindAllStringSubmatch(log, -1) {
		for _, text := range found[1:] {
			n, _ := strconv.ParseInt(text, 10, 64) // the pattern matches digits only
			sum += n
		}
	}
	return sum
}

// tierServerSet contains the servers of a tier, and the discovery that lists them.
type tierServerSet struct {
	discovery *emulator.Discovery
	dedup     *emulator.DedupMemory // shared by all servers: the pool is one dedup scope
	inUse     []*emulator.Server
	started   []*emulator.Server // all servers started so far
}

// startServer starts the n-th server, in slow start if slowStart is true.
func (s *tierServerSet) startServer(n int, slowStart bool) (*emulator.Server, error) {
	settings := emulator.ServerSettings{
		Name: fmt.Sprint("box", n), Speed: serverSpeeds[n%len(serverSpeeds)], Cores: 2, Queue: 16,
		DedupWindow: 10 * time.Second, Dedup: s.dedup, StopsOnCancel: true,
	}
	if slowStart {
		settings.SlowStartShare, settings.SlowStartWindow = 0.13, 5*time.Second
	}
	server, err := emulator.NewServer(settings)
	if err == nil {
		s.started = append(s.started, server)
	}
	return server, err
}

// listed returns the endpoint list of the servers in use.
func (s *tierServerSet) listed() []emulator.Entry {
	var list []emulator.Entry
	for _, server := range s.inUse {
		e := server.Entry()
		e.Share = 2 * server.Speed
		list = append(list, e)
	}
	return list
}

func (s *tierServerSet) start() error {
	for n := range tierServers {
		server, err := s.startServer(n, false)
		if err != nil {
			return err
		}
		s.inUse = append(s.inUse, server)
	}
	var err error
	s.discovery, err = emulator.NewDiscovery(s.listed()...)
	return err
}

// restart replaces the n-th server by one in slow start, and closes the replaced one.
func (s *tierServerSet) restart(n int) error {
	server, err := s.startServer(n, true)
	if err != nil {
		return err
	}
	replaced := s.inUse[n]
	s.inUse[n] = server
	s.discovery.SetList(s.listed()...)
	return replaced.Close()
}

func (s *tierServerSet) close() {
	closeAll(s.started)
	if s.discovery != nil {
		_ = s.discovery.Close()
	}
}
