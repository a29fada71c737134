package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/discovery"
	"jasperpin/internal/emulator"
)

// byteCounter is a listener that counts the bytes of its connections, in both directions.
type byteCounter struct {
	net.Listener
	bytes atomic.Int64
}

// Accept accepts a connection whose bytes are counted.
func (c *byteCounter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c}, nil
}

type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// countedDiscovery is an emulated discovery behind a listener that counts bytes.
type countedDiscovery struct {
	*emulator.Discovery
	listener *byteCounter
	server   *http.Server
}

// startDiscovery starts a discovery with some servers in its list.
func startDiscovery(servers int) (*countedDiscovery, error) {
	var addrs []string
	for i := range servers {
		addrs = append(addrs, fmt.Sprintf("127.0.3.%d:9000", i+1))
	}
	d, err := emulator.NewDiscovery(emulator.InServiceEntries(addrs...)...)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.Close()
		return nil, fmt.Errorf("listening for discovery: %w", err)
	}
	c := &countedDiscovery{Discovery: d, listener: &byteCounter{Listener: ln}, server: &http.Server{Handler: d}}
	go func() { _ = c.server.Serve(c.listener) }() // serves until close
	return c, nil
}

// addr returns the address at which bytes are counted.
func (d *countedDiscovery) addr() string { return d.listener.Addr().String() }

func (d *countedDiscovery) close() {
	d.server.Close()
	d.Close()
}

// watchGoroutines matches the goroutines of watches in a profile, which also has those of the emulated
// discovery: it matches the names of types of internal/discovery and of net/http's client.
var watchGoroutines = regexp.MustCompile(`(?m)^(\d+) @.*\n(?:#.*\n)*?#.*(?:discovery\.\(\*Watcher\)|discovery\.\(\*Feed\)|net/http\.\(\*persistConn\))`)

// countWatchGoroutines returns the number of goroutines of watches in this process.
func countWatchGoroutines() (n int) {
	var text strings.Builder
	if err := pprof.Lookup("goroutine").WriteTo(&text, 1); err != nil {
		panic(err) // writes to a strings.Builder do not fail
	}
	for _, found := range watchGoroutines.FindAllStringSubmatch(text.String(), -1) {
		count, _ := strconv.Atoi(found[1]) // the pattern matches digits only
		n += count
	}
	return n
}

// discoveryCost is the cost of some pools' watches for a node.
type discoveryCost struct {
	calls, bytes float64 // per second
	usage
	descriptors float64
	goroutines  float64 // goroutines of watches
}

// discoveryTrial measures the load that a node with many pools puts on discovery, and its cost for the node: with
// a node process, and with watches in this process for the number of goroutines.
func discoveryTrial(ctx context.Context, options Options) (found Findings, err error) {
	sizes := options.sizes([]int{2, 4, 8, 16}, 80, 325, 650, 1300)
	duration := 9 * time.Second
	if options.Small {
		duration = 500 * time.Millisecond
	}
	servers := int(options.serversPerPool())
	base := Slope{Role: "node: discovery", SizeUnit: fmt.Sprintf("pools with a watch each, of %d servers", servers), Stated: float64(options.Services), Runs: 1}
	calls := base.forFigure("calls", "calls/s", 0)
	bytes := base.forFigure("bytes both ways", "bytes/s", options.ByteRate)
	cpu := base.forFigure("processor time with discovery", "% of a core", options.corePercent())
	memory := base.forFigure("memory with discovery", "MB", options.MemoryMB)
	descriptors := base.forFigure("descriptors", "descriptors", 0)
	goroutines := base.forFigure("goroutines of watches", "goroutines", 0)
	for _, n := range sizes {
		cost, err := options.measureDiscovery(ctx, n, servers, duration)
		if err != nil {
			return found, fmt.Errorf("%d pools: %w", n, err)
		}
		calls.add(n, cost.calls)
		bytes.add(n, cost.bytes)
		cpu.add(n, cost.corePercent)
		memory.add(n, cost.memoryMB)
		descriptors.add(n, cost.descriptors)
		goroutines.add(n, cost.goroutines)
	}
	found.Slopes = append(found.Slopes, *calls, *bytes, *cpu, *memory, *descriptors, *goroutines)
	v, err := calls.Evaluate()
	if err != nil {
		return found, err
	}
	found.notef("%s nodes make %s calls a second and have %s watches open, %s at each of %d machines if all of them run discovery", digits(float64(options.Nodes)),
		digits(v.Value*float64(options.Nodes)), digits(float64(options.Nodes*options.Services)), digits(float64(options.Nodes*options.Services/options.Machines)), options.Machines)
	found.notef("no endpoint changes meanwhile: each watch times out and is opened again; one run of %v, after 3 s", duration)
	return found, nil
}

// measureDiscovery measures the watches of some pools.
func (o Options) measureDiscovery(ctx context.Context, pools, servers int, duration time.Duration) (cost discoveryCost, err error) {
	d, err := startDiscovery(servers)
	if err != nil {
		return cost, err
	}
	defer d.close()
	if cost, err = o.measureWatchingNode(ctx, d, pools, duration); err != nil {
		return cost, err
	}
	// Goroutines of earlier watches end a little later than the watches.
	if err := eventually(ctx, "all goroutines of earlier watches have ended", func() bool { return countWatchGoroutines() == 0 }); err != nil {
		return cost, err
	}
	goroutines, err := watchGoroutinesOf(ctx, d, pools)
	cost.goroutines = float64(goroutines)
	return cost, err
}

// measureWatchingNode measures a node whose pools watch a discovery that does not change.
func (o Options) measureWatchingNode(ctx context.Context, watched *countedDiscovery, pools int, duration time.Duration) (cost discoveryCost, err error) {
	adminAddr := "unix:" + filepath.Join(o.Dir, "ask.door")
	process, err := o.startNodeProcess(fmt.Sprint("ask-", pools), adminAddr, nodeFile(adminAddr, pools, func(int) string {
		return fmt.Sprintf("discovery = %q\nzones = [\"a\"]\nzone = \"a\"", watched.listener.Addr())
	}))
	if err != nil {
		return cost, err
	}
	defer process.Kill()
	settleTime := 3 * time.Second
	if o.Small {
		settleTime = 300 * time.Millisecond
	}
	began := time.Now()
	if _, err := measureUsage(ctx, process.Process, settleTime); err != nil { // wait until all pools have their lists
		return cost, err
	}
	callsBefore, bytesBefore := watched.Calls.Load(), watched.listener.bytes.Load()
	if o.Small { // a small run is too short for a watch to end: count the first calls
		callsBefore, bytesBefore = 0, 0
	} else {
		began = time.Now()
	}
	if cost.usage, err = measureUsage(ctx, process.Process, duration); err != nil {
		return cost, err
	}
	seconds := time.Since(began).Seconds()
	descriptors, err := process.Descriptors()
	if err != nil {
		return cost, err
	}
	cost.calls = float64(watched.Calls.Load()-callsBefore) / seconds
	cost.bytes = float64(watched.listener.bytes.Load()-bytesBefore) / seconds
	cost.descriptors = float64(descriptors)
	return cost, nil
}

// watchGoroutinesOf opens watches in this process, counts their goroutines, and closes the watches.
func watchGoroutinesOf(ctx context.Context, d *countedDiscovery, watches int) (int, error) {
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	var updates atomic.Int64
	for range watches {
		w := discovery.NewWatcher(d.addr(), 0, false, discovery.Zones{"a": 0}, slog.New(slog.DiscardHandler))
		running.Go(func() { w.Run(ctx, func(decide.UpdateKind, []core.Endpoint) { updates.Add(1) }) })
	}
	if err := eventually(ctx, "all watches have a list", func() bool { return updates.Load() >= int64(watches) }); err != nil {
		return 0, err
	}
	return countWatchGoroutines(), nil
}
