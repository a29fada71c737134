package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/fleetsim"
	"jasperpin/internal/slowstart"
)

// coldRun holds cold servers to their budgets under the sum of all nodes: as many real processes, and
// fleets in virtual time.
func coldRun(ctx context.Context, out io.Writer) (figures, error) {
	var f figures
	broke := 0
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "play\tnodes\tseeds\tstarts\tleast budget\tworst, in budgets\tbeyond it, in what is chance\tpushed over\tby nodes told\tmissed %")
	row := func(kind string, nodes, seeds int, all slowstart.Sum, missed float64) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f\t%.2f\t%+.2f\t%d\t%d\t%.2f\n", kind, nodes, seeds, all.Starts, all.Least, all.Ratio, all.Excess, all.Fell, all.Broke, missed)
		name := fmt.Sprintf("n%d_%s", nodes, strings.ReplaceAll(kind, " ", "_"))
		f.add(name+"_excess", "%.2f", all.Excess)
		f.add(name+"_ratio", "%.2f", all.Ratio)
		f.add(name+"_fell", "%d", all.Fell)
		broke += all.Broke
	}
	if err := errors.Join(coldProcesses(ctx, row), w.Flush()); err != nil {
		return f, err
	}
	for _, c := range []struct{ nodes, servers, seeds int }{{300, 200, 12}, {2600, 100, 2}} {
		if err := errors.Join(coldFleets(ctx, c.nodes, c.servers, c.seeds, row), w.Flush()); err != nil {
			return f, err
		}
	}
	if broke > 0 {
		return f, fmt.Errorf("%w: %d cold servers were pushed over by nodes that had been told of their start", errBound, broke)
	}
	return f, nil
}

type coldRow func(kind string, nodes, seeds int, all slowstart.Sum, missed float64)

// coldProcesses plays twenty and thirty processes.
func coldProcesses(ctx context.Context, row coldRow) error {
	const seeds = 2
	dir, err := os.MkdirTemp("", "cold")
	if err != nil {
		return fmt.Errorf("a folder for the nodes: %w", err)
	}
	defer os.RemoveAll(dir)
	node := func(dir, _, file string) (*testbed.Process, error) { return start(dir, "node", file) }
	for _, nodes := range []int{20, 30} {
		for _, kind := range testbed.ColdKinds {
			all, missed := slowstart.Sum{}, 0.0
			for seed := range uint64(seeds) {
				r, err := testbed.Cold(ctx, testbed.ColdOptions{
					Nodes: nodes, Servers: 15, Kind: kind, Dir: dir, Seed: seed + 1, Node: node, Before: 4 * time.Second, For: 8 * time.Second,
				})
				if err != nil {
					return fmt.Errorf("%d processes, %s, seed %d: %w", nodes, kind, seed+1, err)
				}
				all.Merge(r.Sum)
				missed += 100 * r.Clients.Missed() / seeds
			}
			row(kind, nodes, seeds, all, missed)
		}
	}
	return nil
}

// coldFleets plays fleets in virtual time.
func coldFleets(ctx context.Context, nodes, servers, seeds int, row coldRow) error {
	for _, kind := range fleetsim.ColdKinds {
		got, errs := make([]*fleetsim.Result, seeds), make([]error, seeds)
		var wait sync.WaitGroup
		turn := make(chan struct{}, runtime.GOMAXPROCS(0))
		for i := range seeds {
			wait.Go(func() {
				turn <- struct{}{}
				defer func() { <-turn }()
				if errs[i] = ctx.Err(); errs[i] != nil {
					return
				}
				var set fleetsim.Settings
				if set, errs[i] = fleetsim.ColdDay(kind, nodes, servers, uint64(i+1)); errs[i] == nil {
					got[i], errs[i] = fleetsim.Run(set)
				}
			})
		}
		wait.Wait()
		if err := errors.Join(errs...); err != nil {
			return fmt.Errorf("%d nodes, %s: %w", nodes, kind, err)
		}
		calls, work, missed := slowstart.Sum{}, slowstart.Sum{}, 0.0
		for _, r := range got {
			calls.Merge(r.ColdCalls)
			work.Merge(r.ColdWork)
			missed += 100 * float64(r.Missed-r.Unmet) / float64(r.Asked) / float64(seeds)
		}
		row(kind, nodes, seeds, calls, missed)
		work.Broke = 0 // by work a single long request may pass the bound: it is told, and no bound here
		row(kind+", by work", nodes, seeds, work, missed)
	}
	return nil
}
