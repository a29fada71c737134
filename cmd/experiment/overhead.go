package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

// overhead sends the same light load through the node and through the standard
// library's reverse proxy by turns, each a process of its own on one core before
// the same servers, and compares each pair of turns.
func overhead(ctx context.Context, out io.Writer) (figures, error) {
	dir, err := os.MkdirTemp("", "jasperpin-experiment")
	if err != nil {
		return nil, fmt.Errorf("a place for files: %w", err)
	}
	defer os.RemoveAll(dir)
	var addrs []string
	for range 4 {
		s, err := emulator.NewRaw(emulator.Echo)
		if err != nil {
			return nil, err
		}
		defer s.Close()
		addrs = append(addrs, s.Addr)
	}
	file := filepath.Join(dir, "overhead.toml")
	text := "[node]\nlisten = [\"127.0.0.1:0\"]\n[[service]]\nname = \"web\"\n[[service.route]]\nas = \"page\"\npool = \"web\"\n" +
		"[[pool]]\nname = \"web\"\nservers = [\"" + strings.Join(addrs, "\", \"") + "\"]\n[[pool.class]]\nname = \"page\"\nrepeat = \"never\"\naim = \"1s\"\ndeadline = \"5s\"\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("the node's file: %w", err)
	}
	n, p, err := beside(dir, file, addrs...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = n.End() }()
	defer func() { _ = p.End() }()

	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "turn\tnode us a request\tplain us\tratio\tnode p50 ms\tplain p50\tnode p99 ms\tplain p99\tratio p99\t")
	var cpus, tails []float64
	for i := range 6 {
		a, err := turn(ctx, n, uint64(i))
		if err != nil {
			return nil, err
		}
		b, err := turn(ctx, p, uint64(i))
		if err != nil {
			return nil, err
		}
		if i == 0 {
			continue // warms both up
		}
		cpus, tails = append(cpus, a.cpu/b.cpu), append(tails, a.p99/b.p99)
		fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", i, a.cpu, b.cpu, a.cpu/b.cpu, a.p50, b.p50, a.p99, b.p99, a.p99/b.p99)
	}
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("printing the table: %w", err)
	}
	var f figures
	f.add("cpu_ratio", "%.2f", median(cpus))
	f.add("p99_ratio", "%.2f", median(tails))
	return f, nil
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// cost is what one turn cost: us of processor time a request, latencies in ms.
type cost struct{ cpu, p50, p99 float64 }

func turn(ctx context.Context, p *testbed.Process, seed uint64) (cost, error) {
	before, err := p.CPU()
	if err != nil {
		return cost{}, err
	}
	l := &emulator.Load{
		Addr: p.Line, Rate: 1500, For: 4 * time.Second, Seed: seed,
		Kinds: []emulator.Kind{{Class: "page", Path: "/page/", Method: "POST", Share: 1, Body: 200, Aim: time.Second, Deadline: 5 * time.Second}},
	}
	t := l.Start(ctx).Wait()["page"]
	after, err := p.CPU()
	if err != nil {
		return cost{}, err
	}
	if served := t.Ends[emulator.InTime]; served < t.Asked*99/100 {
		return cost{}, fmt.Errorf("%w: of %d requests %d were answered in time, the rest %v", errBound, t.Asked, served, t.Ends)
	}
	return cost{float64(after-before) / float64(time.Microsecond) / float64(t.Asked), ms(t.Quantile(0.5)), ms(t.Quantile(0.99))}, nil
}
