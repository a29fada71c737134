package capacity

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"jasperpin/internal/emulator"
)

// latencies are the latencies of a load of requests.
type latencies struct {
	p50MS, p99MS float64
	requests     int
}

// requestCosts are the costs of requests through one node, one value per run.
type requestCosts struct {
	p50MS, p99MS []float64
	connections  []float64 // new connections to servers, per request
	cpu          []float64 // processor time in us per request
}

// requestsRun is the state of the requests trial: servers, and a node for each number of services.
type requestsRun struct {
	Options
	sizes    []int // numbers of services
	duration time.Duration
	runs     int
	rate     float64 // requests a second of one node
	servers  []*emulator.ScriptedServer
	nodes    []*nodeProcess // nodes in the order of sizes

	direct    requestCosts // costs of requests sent to a server without a node
	costs     []requestCosts
	addedAt99 []float64 // latency added at p99 by the node with the most services, one value per run
}

// requestsTrial measures the latency that a node adds to requests at one node's rate, and the cost of its metrics,
// by the number of services.
func requestsTrial(ctx context.Context, options Options) (found Findings, err error) {
	r := &requestsRun{Options: options, sizes: options.sizes([]int{2, 4, 8, 16}, 10, 100, 400, 1300), duration: 5 * time.Second, runs: 5}
	if options.Small {
		r.duration, r.runs = time.Second, 1
	}
	r.rate = options.RequestRate / float64(options.Nodes)
	r.costs = make([]requestCosts, len(r.sizes))
	defer r.close()
	if err := r.startServers(); err != nil {
		return found, err
	}
	if err := r.startNodes(); err != nil {
		return found, err
	}
	for run := range r.runs {
		if err := r.measureRun(ctx, uint64(run)); err != nil {
			return found, err
		}
	}
	if found.Slopes, err = r.slopes(ctx); err != nil {
		return found, err
	}
	verdict := "holds"
	if median(r.addedAt99) > options.AddedMS {
		verdict = "over"
	}
	found.notef("at %s requests a second, %d servers for all services; direct, with the same clients: p50 %s ms, p99 %s ms",
		digits(r.rate), len(r.servers), digits(median(r.direct.p50MS)), digits(median(r.direct.p99MS)))
	found.notef("added at p99 with %d services, measured in turn: %s ms, minimum %s; %s are allowed: %s (wall time, which includes other work on the machine)",
		r.sizes[len(r.sizes)-1], digits(median(r.addedAt99)), digits(slices.Min(r.addedAt99)), digits(options.AddedMS), verdict)
	return found, nil
}

// startServers starts the servers of all services.
func (r *requestsRun) startServers() error {
	for range int(r.serversPerPool()) {
		s, err := emulator.NewScriptedServer(emulator.Echo)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	return nil
}

// startNodes starts all nodes. They run side by side and are measured one after another, so that other work on the
// machine affects them alike.
func (r *requestsRun) startNodes() error {
	var addrs []string
	for _, s := range r.servers {
		addrs = append(addrs, s.Addr)
	}
	list := "servers = [\"" + strings.Join(addrs, "\", \"") + "\"]"
	for _, n := range r.sizes {
		adminAddr := "unix:" + filepath.Join(r.Dir, fmt.Sprint("added-", n, ".door"))
		p, err := r.startNodeProcess(fmt.Sprint("added-", n), adminAddr, nodeFile(adminAddr, n, func(int) string { return list }))
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, p)
	}
	return nil
}

func (r *requestsRun) close() {
	for _, p := range r.nodes {
		p.Kill()
	}
	for _, s := range r.servers {
		s.Close()
	}
}

// connections returns the number of connections that the servers have accepted.
func (r *requestsRun) connections() (n int64) {
	for _, s := range r.servers {
		n += s.Conns.Load()
	}
	return n
}

// load sends requests to an address, spread over some services.
func (r *requestsRun) load(ctx context.Context, addr string, services int, seed uint64) (latencies, error) {
	l := emulator.Load{Addr: addr, Rate: r.rate, Duration: r.duration, Seed: seed}
	for i := range services {
		l.Kinds = append(l.Kinds, emulator.RequestKind{
			Class: "page", Path: fmt.Sprintf("/s%d/", i), Method: "GET", Weight: 1, LatencyObjective: 4 * time.Second, Deadline: 5 * time.Second,
		})
	}
	t := l.Start(ctx).Wait()["page"]
	if good := t.Results[emulator.InTime]; good < t.Requests*99/100 {
		return latencies{}, errors.Join(ctx.Err(), fmt.Errorf("%d of %d requests were answered in time: %v", good, t.Requests, t.Results))
	}
	return latencies{t.Quantile(0.5).Seconds() * 1e3, t.Quantile(0.99).Seconds() * 1e3, t.Requests}, nil
}

// measureRun sends one load directly to a server, and one through each node.
func (r *requestsRun) measureRun(ctx context.Context, seed uint64) error {
	direct, err := r.load(ctx, r.servers[0].Addr, r.sizes[0], seed)
	if err != nil {
		return err
	}
	r.direct.p50MS, r.direct.p99MS = append(r.direct.p50MS, direct.p50MS), append(r.direct.p99MS, direct.p99MS)
	for i, n := range r.sizes {
		through, err := r.measureNode(ctx, i, seed)
		if err != nil {
			return fmt.Errorf("%d services: %w", n, err)
		}
		if i+1 == len(r.sizes) {
			r.addedAt99 = append(r.addedAt99, through.p99MS-direct.p99MS)
		}
	}
	return nil
}

// measureNode sends one load through the i-th node.
func (r *requestsRun) measureNode(ctx context.Context, i int, seed uint64) (latencies, error) {
	connections := r.connections()
	before, err := r.nodes[i].CPU()
	if err != nil {
		return latencies{}, err
	}
	l, err := r.load(ctx, r.nodes[i].Announcement, r.sizes[i], seed)
	if err != nil {
		return latencies{}, err
	}
	after, err := r.nodes[i].CPU()
	if err != nil {
		return latencies{}, err
	}
	c, requests := &r.costs[i], float64(l.requests)
	c.p50MS, c.p99MS = append(c.p50MS, l.p50MS), append(c.p99MS, l.p99MS)
	c.connections = append(c.connections, float64(r.connections()-connections)/requests)
	c.cpu = append(c.cpu, microseconds(atLeastOneTick(after-before))/requests)
	return l, nil
}

// slopes returns the costs of all runs, and the cost of reading the metrics.
func (r *requestsRun) slopes(ctx context.Context) ([]Slope, error) {
	const metricsCalls = 50
	base := Slope{Role: "node: requests", SizeUnit: "services", Stated: float64(r.Services), Runs: r.runs}
	p50, p99 := base.forFigure("p50 through the node", "ms", 0), base.forFigure("p99 through the node", "ms", 0)
	connections, cpu := base.forFigure("new connections a request", "connections", 0), base.forFigure("processor time a request", "us", 0)
	metricsTime, metricsBytes := base.forFigure("figures at the door: processor time", "ms", 0), base.forFigure("figures at the door: answer", "bytes", 0)
	for i, n := range r.sizes {
		ms, bytes, err := r.nodes[i].metricsCost(ctx, metricsCalls)
		if err != nil {
			return nil, err
		}
		p50.add(n, median(r.costs[i].p50MS))
		p99.add(n, median(r.costs[i].p99MS))
		connections.add(n, median(r.costs[i].connections))
		cpu.add(n, median(r.costs[i].cpu))
		metricsTime.add(n, ms)
		metricsBytes.add(n, bytes)
	}
	return []Slope{*p50, *p99, *connections, *cpu, *metricsTime, *metricsBytes}, nil
}
