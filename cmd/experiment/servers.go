package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"jasperpin/internal/capacity/endpoints"
)

// baselineServers is the number of listed servers that larger numbers are compared with.
const baselineServers = 200

// largerServers are the numbers of listed servers that are compared with baselineServers.
var largerServers = []int{800, 3200}

// updateModes are the ways in which the list is updated, and their names in the measurements.
var updateModes = []struct {
	updates endpoints.UpdateMode
	name    string
}{{endpoints.NoUpdates, "calm"}, {endpoints.Changes, "changes"}, {endpoints.CompleteLists, "whole"}, {endpoints.Alternating, "both"}}

// serversRun runs one node with lists of several lengths, and checks that its costs grow no more than the operators'
// page allows. To limit the node to its share of a core, the trial stops it for the rest of each 20 ms: its timers
// fire late then, as they do under a CPU quota of the system.
func serversRun(ctx context.Context, out io.Writer, args []string) (measurements, error) {
	set := flag.NewFlagSet("servers", flag.ContinueOnError)
	duration := set.Duration("for", 10*time.Second, "duration of a trial")
	share := set.Float64("share", 0.25, "the node's share of a core")
	restarts := set.Int("restarts", 2, "number of restarts of the node in a trial with updates")
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	t := &serversTable{out: out}
	for _, mode := range updateModes {
		trial := endpoints.Trial{Servers: baselineServers, Updates: mode.updates, Duration: *duration, Rate: 30, Deadline: time.Second, CoreShare: *share}
		if mode.updates != endpoints.NoUpdates {
			trial.Restarts = *restarts
		}
		if err := t.runMode(ctx, mode.name, trial); err != nil {
			return t.measurements, err
		}
	}
	if len(t.exceeded) > 0 {
		return t.measurements, fmt.Errorf("%w: %v", errBound, t.exceeded)
	}
	return t.measurements, nil
}

// serversTable prints results, and collects measurements and exceeded limits.
type serversTable struct {
	out          io.Writer
	measurements measurements
	exceeded     []string
}

// runMode runs a trial with each number of servers, and compares the results with those of baselineServers.
func (t *serversTable) runMode(ctx context.Context, name string, trial endpoints.Trial) error {
	baseline, err := runServersTrial(ctx, trial)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s\n", trial.Updates)
	t.print(name, trial, baseline)
	for _, n := range largerServers {
		trial.Servers = n
		r, err := runServersTrial(ctx, trial)
		if err != nil {
			return err
		}
		t.print(name, trial, r)
		for _, c := range endpoints.Compare(baseline, r, n, trial.Updates) {
			verdict := "ok"
			if c.Over {
				verdict = "OVER"
				t.exceeded = append(t.exceeded, fmt.Sprintf("%s, %d servers: %s", trial.Updates, n, c.What))
			}
			fmt.Fprintf(t.out, "    %-24s %12.2f of %12.2f allowed  %s\n", c.What, c.Value, c.Limit, verdict)
		}
	}
	return nil
}

func (t *serversTable) print(name string, trial endpoints.Trial, r endpoints.Result) {
	fmt.Fprintf(t.out, "  %5d servers: in time %d, late %d, rejected %d, failed %d, unanswered %d of %d; p99 %v; cpu %v; peak %.1f MB; descriptors %d; connections %d; lists %d KB\n",
		trial.Servers, r.InTime, r.Late, r.Rejected, r.Failed, r.Unanswered, r.Requests, r.P99.Round(time.Millisecond), r.CPU, float64(r.PeakMemory)/1e6, r.Descriptors, r.Connections, r.ListBytes>>10)
	name = fmt.Sprintf("%s_%d", name, trial.Servers)
	t.measurements.add(name+"_in_time", "%.3f", r.Served())
	t.measurements.add(name+"_cpu_s", "%.2f", r.CPU.Seconds())
}

// runServersTrial runs one trial in its own directory.
func runServersTrial(ctx context.Context, trial endpoints.Trial) (endpoints.Result, error) {
	dir, err := tempDir()
	if err != nil {
		return endpoints.Result{}, err
	}
	defer os.RemoveAll(dir)
	p, err := childProgram(nodeChild)
	if err != nil {
		return endpoints.Result{}, err
	}
	p.Announces = false // the trial chooses the node's address
	return endpoints.Run(ctx, trial, p, dir)
}
