package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

const (
	readyRounds            = 5
	maxReadyP90            = 10 * time.Second // bound for each round
	maxReady               = 30 * time.Second // bound for each process
	readyPause             = 2 * time.Second  // between rounds, for the processes' first calls to discovery
	overloadedCallDuration = 400 * time.Millisecond
	readyPercentile        = 90
)

// The states of discovery while processes restart. Their texts are also parts of names of measurements.
const (
	discoveryServes     = "serves"
	discoveryOverloaded = "overrun"
	discoveryDown       = "down"
)

// readyRun restarts many processes together, in several rounds, and measures the time until they are ready. The
// bound on the 90th percentile applies to each round.
func readyRun(ctx context.Context, out io.Writer) (measurements, error) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "ms until ready, %d rounds\tp50\tp90, worst round\tmax\n", readyRounds)
	var measured measurements
	var violation error
	for _, nodes := range []int{30, 60} {
		for _, state := range []string{discoveryServes, discoveryOverloaded, discoveryDown} {
			for _, kill := range []bool{true, false} {
				if err := ctx.Err(); err != nil {
					return measured, err
				}
				all, worstP90, err := measureRestarts(nodes, state, kill)
				if err != nil {
					return measured, err
				}
				slices.Sort(all)
				name := fmt.Sprintf("%d_%s_%s", nodes, state, map[bool]string{true: "killed", false: "ended"}[kill])
				fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\n", name, milliseconds(all[len(all)/2]), milliseconds(worstP90), milliseconds(all[len(all)-1]))
				measured.add(name+"_p90_ms", "%.0f", milliseconds(worstP90))
				if worstP90 > maxReadyP90 {
					violation = fmt.Errorf("%w: %s: %v until 90%% of the processes were ready", errBound, name, worstP90)
				}
			}
		}
	}
	if err := w.Flush(); err != nil {
		return measured, err
	}
	return measured, violation
}

// measureRestarts returns the time that each process took until it was ready, in all rounds, and the worst 90th
// percentile of a round.
func measureRestarts(nodes int, discoveryState string, kill bool) (all []time.Duration, worstP90 time.Duration, err error) {
	dir, err := tempDir()
	if err != nil {
		return nil, 0, err
	}
	defer os.RemoveAll(dir)
	server, err := emulator.NewScriptedServer(emulator.Echo)
	if err != nil {
		return nil, 0, err
	}
	defer server.Close()
	d, err := startDiscoveryInState(discoveryState, server.Addr)
	if err != nil {
		return nil, 0, err
	}
	defer d.Close()
	p, err := childProgram(nodeChild)
	if err != nil {
		return nil, 0, err
	}
	n, err := testbed.NewNodes(p, dir, nodes, d.Addr, emulator.InServiceEntries(server.Addr)...)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = n.End(true) }()
	for round := range readyRounds + 1 { // the first round starts all processes and is not counted
		if err := n.End(kill); err != nil {
			return nil, 0, err
		}
		took, err := n.Start(maxReady)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: %w", errBound, err)
		}
		time.Sleep(readyPause)
		if round > 0 {
			all, worstP90 = append(all, took...), max(worstP90, took[nodes*readyPercentile/100-1])
		}
	}
	return all, worstP90, nil
}

// startDiscoveryInState starts a discovery server that lists one server, and puts it into a state.
func startDiscoveryInState(state, server string) (*emulator.Discovery, error) {
	d, err := emulator.NewDiscovery(emulator.InServiceEntries(server)...)
	if err != nil {
		return nil, err
	}
	switch state {
	case discoveryOverloaded:
		d.SetOverloaded(overloadedCallDuration)
	case discoveryDown:
		_ = d.Close()
	}
	return d, nil
}
