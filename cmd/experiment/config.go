package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasperpin/internal/admin"
	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
	"jasperpin/internal/configsync"
	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/bigfile"
	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/mtls"
)

const (
	configPace   = 200 * time.Millisecond // between two changes
	configRest   = 10 * time.Second       // for bytes, memory and processor time
	configWithin = time.Minute            // for all nodes to be level
	configBound  = 7 * time.Second        // from a proposal until it is in force at every node
	configADay   = 2500.0                 // changes
	configBatch  = 500                    // records of one change, at first
	configStarts = 100                    // nodes that start at once: all share this process's cores
	configAsk    = 100 * time.Millisecond // between two calls at a real node's door, at the least
	configSlope  = 100                    // changes by which a real node's cost of one is measured
	configDie    = 57                     // nodes that die at once, beside those that stay: as many as fail on a day
)

// configZones has for each zone its region; configMachines has for each machine its zone, as
// docs/CAPACITY.md lays them out. All are relays, the first of them voters too.
var (
	configZones    = []int{1, 1, 1, 2, 2, 3, 3, 4, 4}
	configMachines = []int{0, 3, 5, 7, 1, 4, 6, 8, 2, 0, 3, 5, 7, 4, 6}
)

// configChild plays a voter, a relay or many hollow nodes, whose files and addresses are its arguments.
func configChild(ctx context.Context, kind string, args []string) error {
	files := mtls.Files{Certificate: args[0], Key: args[1], Authorities: args[2]}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if kind == "voter" {
		v, err := consensus.Start(consensus.Options{Listen: args[3], Dir: args[4], Files: files, Log: log})
		if err != nil {
			return err
		}
		defer v.Close()
		fmt.Println(v.Addr())
		<-ctx.Done()
		return nil
	}
	if kind == "nodes" {
		return configNodes(ctx, files, args[3], args[4])
	}
	c, err := consensus.NewClient(strings.Split(args[3], ","), files)
	if err != nil {
		return err
	}
	defer c.Close()
	r, err := configsync.NewRelay(configsync.RelayOptions{Voters: c, Files: files, Streams: 4096, Log: log})
	if err != nil {
		return err
	}
	defer r.Close()
	ln, err := net.Listen("tcp", args[4])
	if err != nil {
		return fmt.Errorf("a relay's port: %w", err)
	}
	defer context.AfterFunc(ctx, r.Close)()
	fmt.Println(ln.Addr())
	return r.Serve(ln)
}

// configNodes has some hollow nodes follow relays, and says so once all are level.
func configNodes(ctx context.Context, files mtls.Files, relays, nodes string) error {
	n, err := strconv.Atoi(nodes)
	if err != nil {
		return fmt.Errorf("the nodes' number: %w", err)
	}
	var at []configsync.RelayAt
	if err := json.Unmarshal([]byte(relays), &at); err != nil {
		return fmt.Errorf("the relays: %w", err)
	}
	for i := range n {
		zone, region := place(i % len(configZones))
		s, err := configsync.NewSource(configsync.SourceOptions{
			Name: fmt.Sprintf("mortal%02d", i), Zone: zone, Region: region, Relays: at, Files: files, Seed: uint64(i),
			Log:     slog.New(slog.DiscardHandler),
			Install: func(configlog.Snapshot) error { return nil }, Change: func(configlog.Change) error { return nil },
		})
		if err != nil {
			return err
		}
		defer s.Close()
		for !s.Status().Level {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	fmt.Println("level")
	<-ctx.Done()
	return nil
}

// follows is what a node has in force, and since when it runs.
type follows struct {
	began   time.Time
	version atomic.Uint64
	down    bool           // killed, and not back yet
	longest *time.Duration // that a change took to be in force at one of its kind
}

// hollow is a node's side of the configuration, and nothing else of a node.
type hollow struct {
	*configsync.Source
	follows
}

// realNode is a process of the program, by an operator's file, whose door is asked.
type realNode struct {
	*testbed.Process
	follows
	file, door string
	refused    atomic.Uint64 // records, as the door tells
	asked      chan struct{} // closed as the door is asked no more
	stop       context.CancelFunc
}

// machine is a voter or a relay, and how it is started.
type machine struct {
	*testbed.Process
	zone  int
	start func() (*testbed.Process, error)
	down  bool
}

func (m *machine) kill() {
	m.Kill()
	m.down = true
}

// configRig is a group, relays before it, each a process, and hollow nodes in this one.
type configRig struct {
	dir    string
	auth   *emulator.Authority
	files  mtls.Files // of the nodes
	voters map[string]*machine
	relays []*machine
	at     []configsync.RelayAt
	client *consensus.Client
	last   uint64        // version
	commit time.Duration // the longest that the voters took to agree
	nodes  []*hollow
	reals  []*realNode
	quiet  atomic.Bool      // their doors are not asked
	mortal *testbed.Process // of nodes that are not measured, and die

	mu       sync.Mutex
	proposed map[uint64]time.Time
	took     *hdrhistogram.Histogram // from the proposal until it is in force, in µs
	atHollow time.Duration           // the longest of them at a hollow node
	atReals  time.Duration           // and until the door of a real one told of it
	between  time.Duration           // the longest from one call at a door until the next has its turn
	held     time.Duration           // the longest that this process was held up by others, or by itself
}

func (g *configRig) issue(name string) (mtls.Files, error) {
	cert, key, err := g.auth.Issue(name)
	return mtls.Files{Certificate: cert, Key: key, Authorities: g.auth.File}, err
}

// child gives a child with a certificate for a name, to be started.
func (g *configRig) child(kind, name string, args ...string) (func() (*testbed.Process, error), error) {
	f, err := g.issue(name)
	return func() (*testbed.Process, error) {
		return start(g.dir, kind, append([]string{f.Certificate, f.Key, f.Authorities}, args...)...)
	}, err
}

// machine starts a voter or a relay in the place of the machine of its number.
func (g *configRig) machine(i int, kind, name string, args ...string) (*machine, error) {
	m := &machine{zone: configMachines[i]}
	var err error
	if m.start, err = g.child(kind, name, args...); err != nil {
		return nil, err
	}
	m.Process, err = m.start()
	return m, err
}

func place(zone int) (name, region string) {
	return fmt.Sprint("z", zone), fmt.Sprint("r", configZones[zone])
}

func newConfigRig(ctx context.Context, voters, relays int) (g *configRig, err error) {
	g = &configRig{voters: make(map[string]*machine), proposed: make(map[uint64]time.Time)}
	if g.dir, err = os.MkdirTemp("", "jasperpin-experiment"); err != nil {
		return g, fmt.Errorf("a place for files: %w", err)
	}
	if g.auth, err = emulator.NewAuthority(g.dir); err != nil {
		return g, err
	}
	addrs := make(map[string]string)
	var all []string
	for i := range voters {
		a, err := emulator.Unused()
		if err != nil {
			return g, err
		}
		addrs[fmt.Sprint("v", i)] = a
		all = append(all, a)
	}
	for i, a := range all {
		name := fmt.Sprint("v", i)
		dir := filepath.Join(g.dir, name)
		if err := consensus.Begin(dir, name, addrs); err != nil {
			return g, err
		}
		v, err := g.machine(i, "voter", consensus.VoterName, a, dir)
		if err != nil {
			return g, err
		}
		g.voters[a] = v
	}
	for i := range relays {
		a, err := emulator.Unused() // of its own, so that it comes back there
		if err != nil {
			return g, err
		}
		m, err := g.machine(i, "relay", configsync.RelayName, strings.Join(all, ","), a)
		if err != nil {
			return g, err
		}
		zone, region := place(m.zone)
		g.relays = append(g.relays, m)
		g.at = append(g.at, configsync.RelayAt{Peer: configlog.Peer{Name: fmt.Sprint("relay", i), Zone: zone, Region: region}, Addr: a})
	}
	if g.files, err = g.issue("node"); err != nil {
		return g, err
	}
	if g.client, err = consensus.NewClient(all, g.files); err != nil {
		return g, err
	}
	starting, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	_, err = g.client.Read(starting, consensus.Ask{})
	return g, err
}

func (g *configRig) close() {
	var all sync.WaitGroup
	for _, n := range g.nodes {
		all.Go(n.Close)
	}
	for _, n := range g.reals {
		all.Go(n.kill)
	}
	all.Wait()
	if g.client != nil {
		g.client.Close()
	}
	if g.mortal != nil {
		g.mortal.Kill()
	}
	for _, p := range g.relays {
		p.Kill()
	}
	for _, p := range g.voters {
		p.Kill()
	}
	_ = os.RemoveAll(g.dir)
}

// node starts a hollow node, with a copy on the disk where it is to be restarted.
func (g *configRig) node(i int, copied bool) error {
	zone, region := place(i % len(configZones))
	n := &hollow{follows: follows{began: time.Now(), longest: &g.atHollow}}
	opt := configsync.SourceOptions{
		Name: fmt.Sprintf("node%04d", i), Zone: zone, Region: region, Relays: g.at, Files: g.files, Seed: uint64(i),
		Log:     slog.New(slog.DiscardHandler),
		Install: func(s configlog.Snapshot) error { g.reached(&n.follows, s.Version()); return nil },
		Change:  func(c configlog.Change) error { g.reached(&n.follows, c.Version); return nil },
	}
	if copied {
		opt.Folder = filepath.Join(g.dir, opt.Name)
	}
	var err error
	if n.Source, err = configsync.NewSource(opt); err != nil {
		return err
	}
	if i < len(g.nodes) {
		g.nodes[i] = n
	} else {
		g.nodes = append(g.nodes, n)
	}
	return nil
}

// reached notes that a node has all versions until one in force.
func (g *configRig) reached(n *follows, version uint64) {
	now := time.Now()
	g.mu.Lock()
	for v := n.version.Load() + 1; v <= version; v++ {
		if t, ok := g.proposed[v]; ok && g.took != nil && n.began.Before(t) {
			*n.longest = max(*n.longest, now.Sub(t))
			_ = g.took.RecordValue(now.Sub(t).Microseconds()) // no longer than its end
		}
	}
	g.mu.Unlock()
	n.version.Store(version)
}

// real writes the file of a real node, and starts it.
func (g *configRig) real(i int) error {
	zone, region := place(i % len(configZones))
	name := fmt.Sprintf("real%02d", i)
	at := filepath.Join(g.dir, name)
	n := &realNode{file: at + ".toml", door: "unix:" + at + ".door"}
	text := fmt.Sprintf("[node]\nname = %q\nlisten = [\"127.0.0.1:0\"]\ncontrol = %q\n[config]\nzone = %q\nregion = %q\nfolder = %q\ncertificate = %q\nkey = %q\nauthorities = %q\n",
		name, n.door, zone, region, at, g.files.Certificate, g.files.Key, g.files.Authorities)
	for _, r := range g.at {
		text += fmt.Sprintf("[[config.relay]]\nname = %q\naddress = %q\nzone = %q\nregion = %q\n", r.Name, r.Addr, r.Zone, r.Region)
	}
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("the node's file: %w", err)
	}
	g.reals = append(g.reals, n)
	return g.begin(n)
}

// begin starts a real node, and asks its door from there on.
func (g *configRig) begin(n *realNode) (err error) {
	n.began, n.down, n.longest = time.Now(), false, &g.atReals
	n.version.Store(0)
	if n.Process, err = start(g.dir, "node", n.file); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	n.asked, n.stop = make(chan struct{}), stop
	go func() {
		defer close(n.asked)
		for ctx.Err() == nil {
			began := time.Now()
			if !g.quiet.Load() {
				g.ask(ctx, n)
			}
			took := time.Since(began)
			g.mu.Lock()
			rest := min(max(configAsk, 3*took), 3*configAsk) // so that asking is little of what the node does
			g.between = max(g.between, took+rest)
			g.mu.Unlock()
			select {
			case <-time.After(rest):
			case <-ctx.Done():
			}
		}
	}()
	return nil
}

// ask asks a real node's door once.
func (g *configRig) ask(ctx context.Context, n *realNode) {
	lines, err := admin.Call(ctx, n.door, "telemetry")
	if err != nil {
		return // it comes up, or goes
	}
	for _, line := range lines {
		name, value, _ := strings.Cut(line, "=")
		if name != "config_version" && name != "config_refused" {
			continue
		}
		v, err := strconv.ParseUint(value, 10, 64)
		switch {
		case err != nil:
		case name == "config_refused":
			n.refused.Store(v)
		case v > n.version.Load():
			g.reached(&n.follows, v)
		}
	}
}

// kill ends a real node without a word to it.
func (n *realNode) kill() {
	if n.Process != nil {
		n.Kill()
		n.stop()
		<-n.asked
	}
}

// propose has a change agreed on, and waits for that alone.
func (g *configRig) propose(ctx context.Context, records ...configlog.Record) error {
	asking, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	began := time.Now()
	g.mu.Lock()
	g.proposed[g.last+1] = began
	g.mu.Unlock()
	v, err := g.client.Propose(asking, configlog.Change{Base: g.last, Author: "experiment", At: time.Now().UnixMilli(), Records: records})
	if err == nil && v != g.last+1 {
		err = fmt.Errorf("version %d after %d", v, g.last)
	}
	g.last, g.commit = v, max(g.commit, time.Since(began))
	return err
}

// behind counts the nodes that have not the last version in force, and says why of one.
func (g *configRig) behind() (n int, why string) {
	for _, h := range g.nodes {
		if !h.down && h.version.Load() != g.last {
			n++
			why = h.Status().Why
		}
	}
	for _, r := range g.reals {
		if !r.down && r.version.Load() != g.last {
			n++
			why = r.file
		}
	}
	return n, why
}

// awaitInSync waits until all nodes have the last version in force.
func (g *configRig) awaitInSync(ctx context.Context) error {
	began := time.Now()
	for {
		n, why := g.behind()
		switch {
		case n == 0:
			return nil
		case time.Since(began) > configWithin || ctx.Err() != nil:
			return fmt.Errorf("%w: %d nodes are behind version %d after %v: %s", errBound, n, g.last, time.Since(began), why)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// changes proposes some, one each configPace, does something beside them, and gives the times until each was in
// force at each node.
func (g *configRig) changes(ctx context.Context, n int, beside func() error) (*hdrhistogram.Histogram, error) {
	g.commit = 0
	h := hdrhistogram.New(1, (2 * configWithin).Microseconds(), 3)
	g.mu.Lock()
	g.took, g.atHollow, g.atReals, g.between, g.held = h, 0, 0, 0, 0
	g.mu.Unlock()
	defer g.watch()()
	failed := make(chan error, 1)
	pace := time.NewTicker(configPace)
	defer pace.Stop()
	for i := range n {
		if i == n/4 {
			go func() { failed <- beside() }()
		}
		if err := g.propose(ctx, configlog.Record{Key: configlog.PoolKey(fmt.Sprint("pool-", i%20)), Value: configValue(i + 1)}); err != nil {
			return h, err
		}
		<-pace.C
	}
	if err := <-failed; err != nil {
		return h, err
	}
	err := g.awaitInSync(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.took = nil
	return h, err
}

// watch notes how late this process comes to do what it has to do at a time, until it is told to end.
func (g *configRig) watch() (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() {
		for ctx.Err() == nil {
			due := time.Now().Add(configAsk)
			time.Sleep(configAsk)
			g.mu.Lock()
			g.held = max(g.held, time.Since(due))
			g.mu.Unlock()
		}
	})
	return func() { cancel(); all.Wait() }
}

// configRecords are some pools, or the records of an operator's file of the stated size.
func configRecords(want string) (all []configlog.Record, err error) {
	if want == "full" {
		var text bytes.Buffer
		if err := bigfile.Full.Write(&text, "127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("the records: %w", err)
		}
		return config.Records("full", text.Bytes())
	}
	n, err := strconv.Atoi(want)
	if err != nil || n < 0 {
		return nil, fmt.Errorf("records are %q: want a number, or full", want)
	}
	for i := range n {
		all = append(all, configlog.Record{Key: configlog.PoolKey(fmt.Sprint("pool-", i)), Value: configValue(0)})
	}
	return all, nil
}

// realCosts tells what the real nodes' start has cost, and what a change costs them beyond rest. Their
// doors are not asked meanwhile.
func (g *configRig) realCosts(ctx context.Context, out io.Writer, f *figures) error {
	if len(g.reals) == 0 {
		return nil
	}
	used := func() (cpu time.Duration, memory, peak int, err error) { // mean, and the most
		for _, n := range g.reals {
			c, err1 := n.CPU()
			m, err2 := n.Memory()
			p, err3 := n.Peak()
			cpu, memory, peak, err = cpu+c/time.Duration(len(g.reals)), max(memory, m), max(peak, p), errors.Join(err, err1, err2, err3)
		}
		return cpu, memory, peak, err
	}
	began, memory, peak, err := used()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a real node, at its start: %.2f s of processor time, %d kB, %d kB at its peak\n", began.Seconds(), memory>>10, peak>>10)
	f.add("real_start_cpu_s", "%.2f", began.Seconds())
	f.add("real_start_kb", "%d", memory>>10)
	f.add("real_start_peak_kb", "%d", peak>>10)

	g.quiet.Store(true)
	defer g.quiet.Store(false)
	time.Sleep(2 * time.Second) // what the start left
	from, _, _, err := used()
	if err != nil {
		return err
	}
	time.Sleep(configRest)
	to, _, _, err := used()
	if err != nil {
		return err
	}
	rest := (to - from).Seconds() / configRest.Seconds()
	changing := time.Now()
	pace := time.NewTicker(configPace)
	defer pace.Stop()
	for i := range configSlope {
		if err := g.propose(ctx, configlog.Record{Key: configlog.PoolKey(fmt.Sprint("pool-", i%20)), Value: configValue(i + 1)}); err != nil {
			return err
		}
		<-pace.C
	}
	time.Sleep(time.Second) // the last ones come to be in force; the rest beside is taken off
	span := time.Since(changing).Seconds()
	is, memory, peak, err := used()
	if err != nil {
		return err
	}
	each := ((is - to).Seconds() - rest*span) / configSlope * 1000
	fmt.Fprintf(out, "a real node, at rest: %.2f%% of a core; a change: %.2f ms of processor time beyond that, of %d in %.1f s; then %d kB, %d kB at its peak\n",
		100*rest, each, configSlope, span, memory>>10, peak>>10)
	f.add("real_rest_cpu_pct", "%.2f", 100*rest)
	f.add("real_change_cpu_ms", "%.2f", each)
	f.add("real_kb", "%d", memory>>10)
	f.add("real_peak_kb", "%d", peak>>10)
	g.quiet.Store(false)
	err = g.awaitInSync(ctx)
	return err
}

// configValue is a pool's table, with some servers that a change moves.
func configValue(i int) []byte {
	return fmt.Appendf(nil, `{"class":[{"name":"look","repeat":"safe"}],"server":[{"address":"127.1.%d.1:9000","name":"a"},{"address":"127.1.%[1]d.2:9000","name":"b"},{"address":"127.1.%[1]d.3:9000","name":"c"}]}`, i%250)
}

// left says why streams were left so far, over all nodes.
func (g *configRig) left() string {
	all := make(map[configlog.Why]int)
	for _, n := range g.nodes {
		for why, times := range n.Status().Left {
			all[why] += times
		}
	}
	return fmt.Sprint(all)
}

// configCost is what processes have used so far.
type configCost struct {
	cpu   time.Duration
	bytes int64
}

func (g *configRig) cost() (c configCost) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // it cannot fail
	c.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	for _, n := range g.nodes {
		s := n.Status()
		c.bytes += s.Heard + s.Said
	}
	return c
}

func configRun(ctx context.Context, out io.Writer, args []string) (f figures, err error) {
	set := flag.NewFlagSet("config", flag.ContinueOnError)
	nodes := set.Int("nodes", 130, "hollow nodes, each with a stream")
	relays := set.Int("relays", 5, "relays, a process each")
	voters := set.Int("voters", 3, "voters, a process each: 1, 3 or 5")
	changes := set.Int("changes", 40, "changes of each trial")
	reals := set.Int("real", 0, "processes of the program beside them, by operators' files")
	records := set.String("records", "500", "pools of the configuration, or full for all of the stated size")
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	if *relays > len(configMachines) || *voters > *relays {
		return nil, fmt.Errorf("%d relays and %d voters: want %d relays at the most, and no more voters than relays", *relays, *voters, len(configMachines))
	}
	first, err := configRecords(*records)
	if err != nil {
		return nil, err
	}
	g, err := newConfigRig(ctx, *voters, *relays)
	defer g.close()
	if err != nil {
		return nil, err
	}
	for batch := range slices.Chunk(first, configBatch) {
		if err := g.propose(ctx, batch...); err != nil {
			return nil, err
		}
	}
	empty, err := g.relays[0].Memory()
	if err != nil {
		return nil, err
	}
	restarted := max(1, *nodes/20)
	began := time.Now()
	for i := range *nodes {
		if err := g.node(i, i < restarted); err != nil {
			return nil, err
		}
		if i%configStarts == configStarts-1 || i == *nodes-1 {
			if err := g.awaitInSync(ctx); err != nil {
				return nil, err
			}
		}
	}
	for i := range *reals {
		if err := g.real(i); err != nil {
			return nil, err
		}
	}
	if err := g.awaitInSync(ctx); err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "%d nodes, started %d at a time, %d relays, %d voters, %d records, %d real nodes: all level after %.2f s\n", *nodes, configStarts, *relays, *voters, len(first), *reals, time.Since(began).Seconds())
	f.add("begun_s", "%.2f", time.Since(began).Seconds())

	if err := g.realCosts(ctx, out, &f); err != nil {
		return f, err
	}

	time.Sleep(2 * time.Second) // what the start left
	relayCPU, err := g.relays[0].CPU()
	if err != nil {
		return f, err
	}
	was := g.cost()
	time.Sleep(configRest)
	is := g.cost()
	now, err := g.relays[0].CPU()
	if err != nil {
		return f, err
	}
	full, err := g.relays[0].Memory()
	if err != nil {
		return f, err
	}
	served := 0
	for _, n := range g.nodes {
		if n.Status().Relay == "relay0" {
			served++
		}
	}
	each := float64(*nodes) * configRest.Seconds()
	restCPU, restBytes := float64((is.cpu-was.cpu).Microseconds())/each, float64(is.bytes-was.bytes)/each
	fmt.Fprintf(out, "at rest, a node: %.1f bytes/s both ways, %.4f%% of a core, with the asking of real nodes' doors; relay 0 serves %d: %.2f%% of a core, %d kB, %.1f kB a stream beyond %d kB\n",
		restBytes, restCPU/1e4, served, 100*(now-relayCPU).Seconds()/configRest.Seconds(), full>>10, float64(full-empty)/1024/float64(max(served, 1)), empty>>10)
	most := 0
	for _, p := range g.voters {
		m, err := p.Memory()
		if err != nil {
			return f, err
		}
		most = max(most, m)
	}
	fmt.Fprintf(out, "a voter has %d kB at the most; streams left so far: %s\n", most>>10, g.left())
	f.add("voter_kb", "%d", most>>10)
	f.add("rest_bytes_s", "%.1f", restBytes)
	f.add("rest_cpu_pct", "%.4f", restCPU/1e4)
	f.add("relay_streams", "%d", served)
	f.add("relay_kb_stream", "%.1f", float64(full-empty)/1024/float64(max(served, 1)))
	f.add("relay_rest_cpu_pct", "%.2f", 100*(now-relayCPU).Seconds()/configRest.Seconds())

	// show tells what came of a trial, in which some nodes stayed from its first change to its last.
	show := func(what string, stayed int, h *hdrhistogram.Histogram) error {
		s := func(us int64) float64 { return float64(us) / 1e6 }
		fmt.Fprintf(out, "%s: %d times in force, p50 %.3f s, p99 %.3f s, at the most %.3f s; streams left so far: %s\n",
			what, h.TotalCount(), s(h.ValueAtQuantile(50)), s(h.ValueAtQuantile(99)), s(h.Max()), g.left())
		f.add(what+"_p50_s", "%.3f", s(h.ValueAtQuantile(50)))
		f.add(what+"_p99_s", "%.3f", s(h.ValueAtQuantile(99)))
		f.add(what+"_max_s", "%.3f", s(h.Max()))
		fmt.Fprintf(out, "  the voters agreed after %.3f s at the most; at a hollow node %.3f s at the most; this process was held up for %.3f s at the most\n", g.commit.Seconds(), g.atHollow.Seconds(), g.held.Seconds())
		f.add(what+"_agreed_max_s", "%.3f", g.commit.Seconds())
		f.add(what+"_hollow_max_s", "%.3f", g.atHollow.Seconds())
		f.add(what+"_held_s", "%.3f", g.held.Seconds())
		g.mu.Lock() // doors are asked all the time
		between := g.between
		g.mu.Unlock()
		if *reals > 0 {
			fmt.Fprintf(out, "  until a real node's door told of it %.3f s at the most; it was asked each %.3f s at the most\n", g.atReals.Seconds(), between.Seconds())
			f.add(what+"_real_max_s", "%.3f", g.atReals.Seconds())
			f.add(what+"_real_asked_s", "%.3f", between.Seconds())
		}
		if worst := time.Duration(h.Max()) * time.Microsecond; worst > configBound {
			return fmt.Errorf("%w: %s: a change was in force everywhere after %v, want %v", errBound, what, worst, configBound)
		}
		if want := int64((stayed + *reals) * *changes); h.TotalCount() < want {
			return fmt.Errorf("%w: %s: changes were in force %d times, want %d at least", errBound, what, h.TotalCount(), want)
		}
		return nil
	}
	was, began = g.cost(), time.Now()
	h, err := g.changes(ctx, *changes, func() error { return nil })
	if err != nil {
		return f, err
	}
	is = g.cost()
	span := time.Since(began).Seconds()
	per := func(all, rest float64) float64 {
		return max(0, all/float64(*nodes)-rest*span) / float64(*changes)
	}
	changeCPU, changeBytes := per(float64((is.cpu-was.cpu).Microseconds()), restCPU), per(float64(is.bytes-was.bytes), restBytes)
	broken := show("calm", *nodes, h)
	fmt.Fprintf(out, "a change costs a node %.0f bytes and %.0f µs; at %.0f a day, from this slope: %.1f bytes/s, %.4f%% of a core\n",
		changeBytes, changeCPU, configADay, restBytes+changeBytes*configADay/86400, (restCPU+changeCPU*configADay/86400)/1e4)
	f.add("change_bytes", "%.0f", changeBytes)
	f.add("change_cpu_us", "%.0f", changeCPU)
	f.add("day_bytes_s", "%.1f", restBytes+changeBytes*configADay/86400)
	f.add("day_cpu_pct", "%.4f", (restCPU+changeCPU*configADay/86400)/1e4)

	trial := func(what string, stayed int, beside func() error) error {
		h, err := g.changes(ctx, *changes, beside)
		if err != nil {
			return err
		}
		broken = errors.Join(broken, show(what, stayed, h))
		return nil
	}
	if err := trial("relay_killed", *nodes, func() error { g.relays[0].kill(); return nil }); err != nil {
		return f, errors.Join(broken, err)
	}
	if err := trial("restarted_5pct", *nodes-restarted, func() error { return g.restart(restarted) }); err != nil {
		return f, errors.Join(broken, err)
	}
	if err := trial("leader_killed", *nodes, func() error { return g.killLeader(ctx) }); err != nil {
		return f, errors.Join(broken, err)
	}
	if err := errors.Join(g.back(ctx), g.bear()); err != nil {
		return f, errors.Join(broken, err)
	}
	if err := trial("nodes_died", *nodes, g.die); err != nil {
		return f, errors.Join(broken, err)
	}
	g.mortal.Kill() // a stopped process has all others of its group end, should their shell go
	leads, err := g.leader(ctx)
	if err != nil {
		return f, errors.Join(broken, err)
	}
	lost := leads.zone
	if err := trial("zone_lost", *nodes-inZone(lost, *nodes)-inZone(lost, *reals), func() error { g.kill(lost); return nil }); err != nil {
		return f, errors.Join(broken, err)
	}
	began = time.Now()
	if err := g.back(ctx); err != nil {
		return f, errors.Join(broken, err)
	}
	span = time.Since(began).Seconds()
	fmt.Fprintf(out, "the zone's %d nodes, without a copy, %d real ones, with theirs, and its machines, of which one led, are back and level after %.2f s, starts of processes included\n", inZone(lost, *nodes), inZone(lost, *reals), span)
	f.add("zone_back_s", "%.2f", span)
	for _, n := range g.reals {
		if refused := n.refused.Load(); refused > 0 {
			broken = errors.Join(broken, fmt.Errorf("%w: %s: %d records are refused", errBound, n.file, refused))
		}
	}
	return f, broken
}

// inZone is how many of some nodes are in a zone.
func inZone(zone, of int) int { return (of + len(configZones) - 1 - zone) / len(configZones) }

// kill kills a zone's voter, relays and nodes at once.
func (g *configRig) kill(zone int) {
	var all sync.WaitGroup
	for _, m := range g.machines() {
		if m.zone == zone {
			all.Go(m.kill)
		}
	}
	for i, n := range g.nodes {
		if i%len(configZones) == zone {
			n.down = true
			all.Go(n.Close)
		}
	}
	for i, n := range g.reals {
		if i%len(configZones) == zone {
			n.down = true
			all.Go(n.kill)
		}
	}
	all.Wait()
}

func (g *configRig) machines() []*machine {
	return slices.AppendSeq(slices.Clone(g.relays), maps.Values(g.voters))
}

// back starts what was killed, and waits until it is level.
func (g *configRig) back(ctx context.Context) error {
	var relays []configsync.RelayAt
	for i, m := range g.relays {
		if m.down {
			relays = append(relays, g.at[i])
		}
	}
	for _, m := range g.machines() {
		if !m.down {
			continue
		}
		p, err := m.start()
		if err != nil {
			return err
		}
		m.Process, m.down = p, false
	}
	for i, n := range g.nodes {
		if n.down {
			if err := g.node(i, false); err != nil {
				return err
			}
		}
	}
	for _, n := range g.reals {
		if n.down {
			if err := g.begin(n); err != nil {
				return err
			}
		}
	}
	if err := g.awaitInSync(ctx); err != nil {
		return err
	}
	for _, at := range relays {
		if err := g.shows(ctx, at); err != nil {
			return err
		}
	}
	return g.agreed(ctx)
}

// within waits for something, as long as all may take to be level.
func within(ctx context.Context, what string, is func() bool) error {
	for began := time.Now(); time.Since(began) < configWithin && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if is() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not level within %v", errBound, what, configWithin)
}

// shows waits until a relay has the last version for a node that knows no other.
func (g *configRig) shows(ctx context.Context, at configsync.RelayAt) error {
	s, err := configsync.NewSource(configsync.SourceOptions{
		Name: "probe", Relays: []configsync.RelayAt{at}, Files: g.files, Log: slog.New(slog.DiscardHandler),
		Install: func(configlog.Snapshot) error { return nil }, Change: func(configlog.Change) error { return nil },
	})
	if err != nil {
		return err
	}
	defer s.Close()
	return within(ctx, at.Name, func() bool { is := s.Status(); return is.Level && is.Version == g.last })
}

// agreed waits until each voter has carried out what the others have.
func (g *configRig) agreed(ctx context.Context) error {
	var most uint64
	return within(ctx, "a voter", func() bool {
		all := true
		for at := range g.voters {
			s, err := g.client.Status(ctx, at)
			all = all && err == nil && s.Known >= most
			most = max(most, s.Known)
		}
		return all
	})
}

// restart restarts the first nodes, by their copies.
func (g *configRig) restart(nodes int) error {
	for i := range nodes {
		g.nodes[i].Close()
	}
	for i := range nodes {
		if err := g.node(i, true); err != nil {
			return err
		}
		if v := g.nodes[i].version.Load(); v == 0 {
			return fmt.Errorf("%w: a node that was restarted has nothing of its copy", errBound)
		}
	}
	return nil
}

// bear starts the nodes that are to die, as many as stay at the most.
func (g *configRig) bear() error {
	at, err := json.Marshal(g.at)
	if err != nil {
		return fmt.Errorf("the relays: %w", err)
	}
	begin, err := g.child("nodes", "node", string(at), fmt.Sprint(min(configDie, len(g.nodes))))
	if err != nil {
		return err
	}
	g.mortal, err = begin()
	return err
}

// die stops those nodes: their streams stay, and nothing is heard on them any more, as of a machine
// that is off.
func (g *configRig) die() error { return g.mortal.Signal(syscall.SIGSTOP) }

// leader is the voter that leads.
func (g *configRig) leader(ctx context.Context) (*machine, error) {
	for addr, m := range g.voters {
		if s, err := g.client.Status(ctx, addr); err == nil && s.Leads {
			return m, nil
		}
	}
	return nil, errors.New("no voter leads the others")
}

// killLeader kills the voter that leads.
func (g *configRig) killLeader(ctx context.Context) error {
	m, err := g.leader(ctx)
	if err == nil {
		m.kill()
	}
	return err
}
