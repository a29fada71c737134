package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

const (
	overheadServers = 4
	overheadTurns   = 6 // the first one is a warm-up and is not counted
)

// startEchoServers starts servers that answer at once.
func startEchoServers(n int) (servers []*emulator.ScriptedServer, addrs []string, err error) {
	for range n {
		s, err := emulator.NewScriptedServer(emulator.Echo)
		if err != nil {
			return servers, nil, err
		}
		servers, addrs = append(servers, s), append(addrs, s.Addr)
	}
	return servers, addrs, nil
}

// overheadRun sends the same light load through a node and through the standard library's reverse proxy alternately, and
// compares each pair of turns. Each is a process on one core, in front of the same servers.
func overheadRun(ctx context.Context, out io.Writer) (measurements, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	servers, addrs, err := startEchoServers(overheadServers)
	for _, s := range servers {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "overhead.toml")
	text := "[node]\nlisten = [\"127.0.0.1:0\"]\n[[service]]\nname = \"web\"\n[[service.route]]\nas = \"page\"\npool = \"web\"\n" +
		"[[pool]]\nname = \"web\"\nservers = [\"" + strings.Join(addrs, "\", \"") + "\"]\n[[pool.class]]\nname = \"page\"\nrepeat = \"never\"\naim = \"1s\"\ndeadline = \"5s\"\n"
	if err := writeNodeFile(file, text); err != nil {
		return nil, err
	}
	node, proxy, err := startNodeAndProxy(dir, file, addrs...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = node.Terminate() }()
	defer func() { _ = proxy.Terminate() }()
	return compareTurns(ctx, out, node, proxy)
}

// compareTurns prints a row for each pair of turns, and returns the median ratios.
func compareTurns(ctx context.Context, out io.Writer, node, proxy *testbed.Process) (measurements, error) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "turn\tnode us/request\tplain us/request\tratio\tnode p50 ms\tplain p50 ms\tnode p99 ms\tplain p99 ms\tp99 ratio\t")
	var cpuRatios, p99Ratios []float64
	for turn := range overheadTurns {
		n, err := measureTurn(ctx, node, uint64(turn))
		if err != nil {
			return nil, err
		}
		p, err := measureTurn(ctx, proxy, uint64(turn))
		if err != nil {
			return nil, err
		}
		if turn == 0 {
			continue
		}
		cpuRatios, p99Ratios = append(cpuRatios, n.cpuUS/p.cpuUS), append(p99Ratios, n.p99MS/p.p99MS)
		fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", turn, n.cpuUS, p.cpuUS, n.cpuUS/p.cpuUS, n.p50MS, p.p50MS, n.p99MS, p.p99MS, n.p99MS/p.p99MS)
	}
	if err := flushTable(w); err != nil {
		return nil, err
	}
	var measured measurements
	measured.add("cpu_ratio", "%.2f", median(cpuRatios))
	measured.add("p99_ratio", "%.2f", median(p99Ratios))
	return measured, nil
}

// turnCost is the cost of one turn: processor time per request, and latencies.
type turnCost struct{ cpuUS, p50MS, p99MS float64 }

// measureTurn sends the load of one turn to a process.
func measureTurn(ctx context.Context, p *testbed.Process, seed uint64) (turnCost, error) {
	before, err := p.CPU()
	if err != nil {
		return turnCost{}, err
	}
	l := &emulator.Load{
		Addr: p.Announcement, Rate: 1500, Duration: 4 * time.Second, Seed: seed,
		Kinds: []emulator.RequestKind{{Class: "page", Path: "/page/", Method: "POST", Weight: 1, BodyBytes: 200, LatencyObjective: time.Second, Deadline: 5 * time.Second}},
	}
	t := l.Start(ctx).Wait()["page"]
	after, err := p.CPU()
	if err != nil {
		return turnCost{}, err
	}
	if inTime := t.Results[emulator.InTime]; inTime < t.Requests*99/100 {
		return turnCost{}, fmt.Errorf("%w: %d of %d requests were answered in time; all results: %v", errBound, inTime, t.Requests, t.Results)
	}
	cpuUS := float64(after-before) / float64(time.Microsecond) / float64(t.Requests)
	return turnCost{cpuUS, milliseconds(t.Quantile(0.5)), milliseconds(t.Quantile(0.99))}, nil
}
