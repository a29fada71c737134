package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/fleetsim"
	"jasperpin/internal/slowstart"
)

// slowStartTable prints a row for each scenario, and collects the measurements.
type slowStartTable struct {
	*tabwriter.Writer
	measurements measurements
	overloaded   int // servers overloaded by nodes that had been informed of their start
}

func (t *slowStartTable) row(kind string, nodes, seeds int, sum slowstart.Totals, missedPercent float64) {
	fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.2f\t%+.2f\t%d\t%d\t%.2f\n", kind, nodes, seeds, sum.Starts, sum.MinBudget, sum.WorstRatio, sum.WorstExcess, sum.Overloaded, sum.OverloadedByInformedNodes, missedPercent)
	name := fmt.Sprintf("n%d_%s", nodes, strings.ReplaceAll(kind, " ", "_"))
	t.measurements.add(name+"_excess", "%.2f", sum.WorstExcess)
	t.measurements.add(name+"_ratio", "%.2f", sum.WorstRatio)
	t.measurements.add(name+"_fell", "%d", sum.Overloaded)
	t.overloaded += sum.OverloadedByInformedNodes
}

// slowStartRun checks that all nodes together send servers in slow start at most their budgets: first with
// nodes that are real processes, then with fleets in virtual time.
func slowStartRun(ctx context.Context, out io.Writer) (measurements, error) {
	t := &slowStartTable{Writer: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t, "scenario\tnodes\tseeds\tstarts\tmin budget\tmax load, in budgets\tmax excess, in chance allowances\toverloaded\tby informed nodes\tmissed %")
	if err := errors.Join(slowStartProcesses(ctx, t), t.Flush()); err != nil {
		return t.measurements, err
	}
	for _, c := range []struct{ nodes, servers, seeds int }{{300, 200, 12}, {2600, 100, 2}} {
		if err := errors.Join(slowStartFleets(ctx, c.nodes, c.servers, c.seeds, t), t.Flush()); err != nil {
			return t.measurements, err
		}
	}
	if t.overloaded > 0 {
		return t.measurements, fmt.Errorf("%w: %d servers in slow start were overloaded by nodes that had been informed of their start", errBound, t.overloaded)
	}
	return t.measurements, nil
}

// slowStartProcesses runs the scenarios with 20 and 30 processes.
func slowStartProcesses(ctx context.Context, t *slowStartTable) error {
	const seeds = 2
	dir, err := tempDir()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for _, nodes := range []int{20, 30} {
		for _, kind := range testbed.SlowStartScenarios {
			all, missed := slowstart.Totals{}, 0.0
			for seed := range uint64(seeds) {
				r, err := testbed.RunSlowStart(ctx, testbed.SlowStartOptions{
					Nodes: nodes, Servers: 15, Scenario: kind, Dir: dir, Seed: seed + 1, StartNode: startNodeFromFile,
					WarmUp: 4 * time.Second, Duration: 8 * time.Second,
				})
				if err != nil {
					return fmt.Errorf("%d processes, %s, seed %d: %w", nodes, kind, seed+1, err)
				}
				all.Merge(r.Totals)
				missed += 100 * r.ClientTally.Missed() / seeds
			}
			t.row(kind, nodes, seeds, all, missed)
		}
	}
	return nil
}

// slowStartFleets runs the scenarios in virtual time.
func slowStartFleets(ctx context.Context, nodes, servers, seeds int, t *slowStartTable) error {
	for _, kind := range fleetsim.SlowStartScenarioKinds {
		results := make([]*fleetsim.Result, seeds)
		errs := runParallel(ctx, seeds, runtime.GOMAXPROCS(0), func(i int) error {
			settings, err := fleetsim.SlowStartScenario(kind, nodes, servers, uint64(i+1))
			if err == nil {
				results[i], err = fleetsim.Run(settings)
			}
			return err
		})
		if err := errors.Join(errs...); err != nil {
			return fmt.Errorf("%d nodes, %s: %w", nodes, kind, err)
		}
		calls, work, missed := slowstart.Totals{}, slowstart.Totals{}, 0.0
		for _, r := range results {
			calls.Merge(r.SlowStartCalls)
			work.Merge(r.SlowStartWork)
			missed += 100 * float64(r.Missed-r.NoNode) / float64(r.Requests) / float64(seeds)
		}
		t.row(kind, nodes, seeds, calls, missed)
		work.OverloadedByInformedNodes = 0 // not a violation: one long request alone may exceed a budget of work
		t.row(kind+", by work", nodes, seeds, work, missed)
	}
	return nil
}
