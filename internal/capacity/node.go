package capacity

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/admin"
	"jasperpin/internal/core"
	"jasperpin/internal/discovery"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

// nodeFile is a file of a node with some services of one pool each, reached by their path. Each pool has
// what rest says of it.
func nodeFile(control string, services int, rest func(i int) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\nname = \"edge\"\nlisten = [\"127.0.0.1:0\"]\ncontrol = %q\n[limits]\nmemory = \"1GB\"\ndescriptors = 16384\n", control)
	for i := range services {
		fmt.Fprintf(&b, "[[service]]\nname = \"s%d\"\n[[service.route]]\npath = \"/s%d/\"\nas = \"page\"\npool = \"p%d\"\n", i, i, i)
		fmt.Fprintf(&b, "[[pool]]\nname = \"p%d\"\n%s\n[[pool.class]]\nname = \"page\"\nrepeat = \"safe\"\naim = \"4s\"\ndeadline = \"5s\"\n", i, rest(i))
	}
	return b.String()
}

// begun is a node that runs by a file.
type begun struct {
	*testbed.Process
	door string
}

func (o Options) begin(name, control, text string) (*begun, error) {
	file := filepath.Join(o.Dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("the node's file: %w", err)
	}
	p, err := o.Node(o.Dir, name, file)
	if err != nil {
		return nil, err
	}
	return &begun{p, control}, nil
}

// use is what a process used in a while.
type use struct {
	core   float64 // % of one
	memory float64 // MB, at its end
}

// watch measures a process for a while.
func watch(ctx context.Context, p *testbed.Process, lasts time.Duration) (u use, err error) {
	before, err := p.CPU()
	if err != nil {
		return u, err
	}
	began := time.Now()
	select {
	case <-time.After(lasts):
	case <-ctx.Done():
		return u, ctx.Err()
	}
	over := time.Since(began).Seconds()
	after, err := p.CPU()
	if err != nil {
		return u, err
	}
	memory, err := p.Memory()
	return use{100 * ticked(after-before).Seconds() / over, float64(memory) / 1e6}, err
}

// ticked is a process's time that may have been too short for the system's clock: less than one of its
// ticks counts as one.
func ticked(d time.Duration) time.Duration { return max(d, 10*time.Millisecond) }

// tally counts what passes connections.
type tally struct {
	net.Listener
	bytes atomic.Int64
}

func (t *tally) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{c, t}, nil
}

type counted struct {
	net.Conn
	t *tally
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

// tell serves a discovery of some servers behind a tally.
func tell(servers int) (*emulator.Discovery, *tally, func(), error) {
	var addrs []string
	for i := range servers {
		addrs = append(addrs, fmt.Sprintf("127.0.3.%d:9000", i+1))
	}
	d, err := emulator.NewDiscovery(emulator.Hosts(addrs...)...)
	if err != nil {
		return nil, nil, nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.Close()
		return nil, nil, nil, fmt.Errorf("a port for discovery: %w", err)
	}
	t := &tally{Listener: ln}
	srv := &http.Server{Handler: d}
	go func() { _ = srv.Serve(t) }()
	return d, t, func() { srv.Close(); d.Close() }, nil
}

// clientSide tells the goroutines of watches from those of the discovery that they ask.
var clientSide = regexp.MustCompile(`(?m)^(\d+) @.*\n(?:#.*\n)*?#.*(?:discovery\.\(\*Watcher\)|discovery\.\(\*Feed\)|net/http\.\(\*persistConn\))`)

func watching() (n int) {
	var text strings.Builder
	if err := pprof.Lookup("goroutine").WriteTo(&text, 1); err != nil {
		panic(err) // a builder takes all
	}
	for _, found := range clientSide.FindAllStringSubmatch(text.String(), -1) {
		some, _ := strconv.Atoi(found[1])
		n += some
	}
	return n
}

// asked measures what a node with many pools asks of discovery: one process of the program, and hollow
// watches for their goroutines.
func asked(ctx context.Context, o Options) (found Found, err error) {
	sizes := o.sizes([]int{2, 4, 8, 16}, 80, 325, 650, 1300)
	lasts := 9 * time.Second
	if o.Small {
		lasts = 500 * time.Millisecond
	}
	servers := int(per(o.Servers, o.Services))
	base := Slope{Role: "node: discovery", By: fmt.Sprintf("pools with a watch each, of %d servers", servers), Stated: float64(o.Services), Runs: 1}
	calls, bytes, cpu := base.named("calls", "calls/s", 0), base.named("bytes both ways", "bytes/s", o.Bytes), base.named("processor time with discovery", "% of a core", 100*o.Core)
	memory, fds, goroutines := base.named("memory with discovery", "MB", o.Memory), base.named("descriptors", "descriptors", 0), base.named("goroutines of watches", "goroutines", 0)
	for _, n := range sizes {
		got, err := o.askedBy(ctx, n, servers, lasts)
		if err != nil {
			return found, fmt.Errorf("%d pools: %w", n, err)
		}
		for i, s := range []*Slope{calls, bytes, cpu, memory, fds, goroutines} {
			s.Samples = append(s.Samples, Sample{float64(n), got[i]})
		}
	}
	for _, s := range []*Slope{calls, bytes, cpu, memory, fds, goroutines} {
		found.Slopes = append(found.Slopes, *s)
	}
	v, err := calls.Judge()
	if err != nil {
		return found, err
	}
	found.note("%s nodes then make %s calls a second and hold %s watches, %s on each of %d machines, were all of them discovery's", digits(float64(o.Nodes)),
		digits(v.Value*float64(o.Nodes)), digits(float64(o.Nodes*o.Services)), digits(float64(o.Nodes*o.Services/o.Machines)), o.Machines)
	found.note("nothing changes meanwhile: each watch waits its time out and is opened anew; one run of %v, after 3 s", lasts)
	return found, nil
}

func (o Options) askedBy(ctx context.Context, n, servers int, lasts time.Duration) (got [6]float64, err error) {
	d, t, end, err := tell(servers)
	if err != nil {
		return got, err
	}
	defer end()
	door := "unix:" + filepath.Join(o.Dir, "ask.door")
	p, err := o.begin(fmt.Sprint("ask-", n), door, nodeFile(door, n, func(int) string {
		return fmt.Sprintf("discovery = %q\nzones = [\"a\"]\nzone = \"a\"", t.Addr())
	}))
	if err != nil {
		return got, err
	}
	defer p.Kill()
	settle := 3 * time.Second
	if o.Small {
		settle = 300 * time.Millisecond
	}
	began := time.Now()
	if _, err := watch(ctx, p.Process, settle); err != nil { // all have their lists
		return got, err
	}
	wasCalls, wasBytes := d.Calls.Load(), t.bytes.Load()
	if o.Small { // too short for a watch to end: the first calls count
		wasCalls, wasBytes = 0, 0
	} else {
		began = time.Now()
	}
	u, err := watch(ctx, p.Process, lasts)
	if err != nil {
		return got, err
	}
	over := time.Since(began).Seconds()
	fds, err := p.Descriptors()
	if err != nil {
		return got, err
	}
	got = [6]float64{float64(d.Calls.Load()-wasCalls) / over, float64(t.bytes.Load()-wasBytes) / over, u.core, u.memory, float64(fds), 0}
	p.Kill()

	// Goroutines of those before end a little after their watches have.
	if err := soon(ctx, "no goroutine of a watch is left", func() bool { return watching() == 0 }); err != nil {
		return got, err
	}
	ctx, stop := context.WithCancel(ctx)
	var ended sync.WaitGroup
	defer ended.Wait()
	defer stop()
	var told atomic.Int64
	for range n {
		w := discovery.NewWatcher(t.Addr().String(), 0, false, discovery.Zones{"a": 0}, slog.New(slog.DiscardHandler))
		ended.Go(func() { w.Run(ctx, func(decide.UpdateKind, []core.Endpoint) { told.Add(1) }) })
	}
	if err := soon(ctx, "all watches are told", func() bool { return told.Load() >= int64(n) }); err != nil {
		return got, err
	}
	got[5] = float64(watching())
	return got, nil
}

// soon waits for something that comes within seconds.
func soon(ctx context.Context, what string, holds func() bool) error {
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if err := ctx.Err(); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within 20 s: %s", what)
		}
	}
	return nil
}

// added measures what a node adds to requests at the rate of one node, by the number of its services,
// and what their figures cost at the door.
func added(ctx context.Context, o Options) (found Found, err error) {
	sizes, lasts, runs := o.sizes([]int{2, 4, 8, 16}, 10, 100, 400, 1300), 5*time.Second, 5
	if o.Small {
		lasts, runs = time.Second, 1
	}
	var addrs []string
	var raws []*emulator.Raw
	for range int(per(o.Servers, o.Services)) {
		s, err := emulator.NewRaw(emulator.Echo)
		if err != nil {
			return found, err
		}
		defer s.Close()
		addrs, raws = append(addrs, s.Addr), append(raws, s)
	}
	conns := func() (n int64) {
		for _, s := range raws {
			n += s.Conns.Load()
		}
		return n
	}
	rate := o.Requests / float64(o.Nodes)
	load := func(addr string, services int, seed uint64) (p50, p99 float64, asked int, err error) {
		l := emulator.Load{Addr: addr, Rate: rate, For: lasts, Seed: seed}
		for i := range services {
			l.Kinds = append(l.Kinds, emulator.Kind{Class: "page", Path: fmt.Sprintf("/s%d/", i), Method: "GET", Share: 1, Aim: 4 * time.Second, Deadline: 5 * time.Second})
		}
		t := l.Start(ctx).Wait()["page"]
		if good := t.Ends[emulator.InTime]; good < t.Asked*99/100 {
			return 0, 0, 0, errors.Join(ctx.Err(), fmt.Errorf("of %d requests %d were answered in time: %v", t.Asked, good, t.Ends))
		}
		return t.Quantile(0.5).Seconds() * 1e3, t.Quantile(0.99).Seconds() * 1e3, t.Asked, nil
	}
	base := Slope{Role: "node: requests", By: "services", Stated: float64(o.Services), Runs: runs}
	whole, tail := base.named("p50 through the node", "ms", 0), base.named("p99 through the node", "ms", 0)
	links, cpu := base.named("new connections a request", "connections", 0), base.named("processor time a request", "us", 0)
	call, lines := base.named("figures at the door: processor time", "ms", 0), base.named("figures at the door: answer", "bytes", 0)
	// All nodes run, and are asked by turns: what else the machine does strikes them alike.
	var nodes []*begun
	defer func() {
		for _, p := range nodes {
			p.Kill()
		}
	}()
	for _, n := range sizes {
		door := "unix:" + filepath.Join(o.Dir, fmt.Sprint("added-", n, ".door"))
		p, err := o.begin(fmt.Sprint("added-", n), door, nodeFile(door, n, func(int) string {
			return "servers = [\"" + strings.Join(addrs, "\", \"") + "\"]"
		}))
		if err != nil {
			return found, err
		}
		nodes = append(nodes, p)
	}
	var direct50, direct99, most []float64 // most: added at p99 with the most services
	halves, tails, per, used := make([][]float64, len(sizes)), make([][]float64, len(sizes)), make([][]float64, len(sizes)), make([][]float64, len(sizes))
	for run := range runs {
		d50, d99, _, err := load(addrs[0], sizes[0], uint64(run))
		if err != nil {
			return found, err
		}
		direct50, direct99 = append(direct50, d50), append(direct99, d99)
		for i, n := range sizes {
			was := conns()
			before, err := nodes[i].CPU()
			if err != nil {
				return found, err
			}
			p50, p99, asked, err := load(nodes[i].Line, n, uint64(run))
			if err != nil {
				return found, fmt.Errorf("%d services: %w", n, err)
			}
			after, err := nodes[i].CPU()
			if err != nil {
				return found, err
			}
			halves[i], tails[i] = append(halves[i], p50), append(tails[i], p99)
			per[i], used[i] = append(per[i], float64(conns()-was)/float64(asked)), append(used[i], micros(ticked(after-before))/float64(asked))
			if i+1 == len(sizes) {
				most = append(most, p99-d99)
			}
		}
	}
	for i, n := range sizes {
		const calls = 50
		before, err := nodes[i].CPU()
		if err != nil {
			return found, err
		}
		bytes := 0
		for range calls {
			all, err := nodes[i].call(ctx, "telemetry")
			if err != nil {
				return found, err
			}
			bytes = len(strings.Join(all, "\n"))
		}
		after, err := nodes[i].CPU()
		if err != nil {
			return found, err
		}
		for s, v := range map[*Slope]float64{
			whole: median(halves[i]), tail: median(tails[i]), links: median(per[i]), cpu: median(used[i]),
			call: micros(ticked(after-before)) / 1e3 / calls, lines: float64(bytes),
		} {
			s.Samples = append(s.Samples, Sample{float64(n), v})
		}
	}
	for _, s := range []*Slope{whole, tail, links, cpu, call, lines} {
		found.Slopes = append(found.Slopes, *s)
	}
	word := "holds"
	if median(most) > o.Added {
		word = "over"
	}
	found.note("at %s requests a second, %d servers for all services; direct, by the same clients: p50 %s ms, p99 %s ms", digits(rate), len(addrs), digits(median(direct50)), digits(median(direct99)))
	found.note("added at p99 with %d services, turn by turn: %s ms, at the least %s; %s are allowed: %s (wall time: other work on the machine is in it)",
		sizes[len(sizes)-1], digits(median(most)), digits(slices.Min(most)), digits(o.Added), word)
	return found, nil
}

// call asks at a node's door.
func (p *begun) call(ctx context.Context, line string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return admin.Call(ctx, p.door, line)
}
