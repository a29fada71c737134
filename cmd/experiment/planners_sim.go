package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"jasperpin/internal/fleetsim"
)

// simSeeds is the number of seeds with which each case is simulated.
const simSeeds = 5

// The modes in which nodes place requests. Their texts are also parts of names of measurements.
const (
	oneLevel         = "one level"
	onePlanner       = "1 planner"
	threeByKey       = "3 by key"
	threeByZone      = "3 by site"
	oneForwarderTier = "forwarders"
	twoByZone        = "2 a site"
)

// The conditions of a tier. Their texts are also parts of names of measurements.
const (
	serversRestart = "restarts"
	smallZone      = "small site"
)

const (
	simFaultAt   = 5 * time.Second
	simFaultSpan = 4 * time.Second
)

// simFaults are the faults of planners, by name. The names are also parts of names of measurements.
var simFaults = map[string]fleetsim.Fault{
	"one planner killed": {Planner: 0, Kind: fleetsim.Killed, At: simFaultAt, For: simFaultSpan},
	"all killed":         {Planner: fleetsim.All, Kind: fleetsim.Killed, At: simFaultAt, For: simFaultSpan},
	"all paused":         {Planner: fleetsim.All, Kind: fleetsim.Paused, At: simFaultAt, For: simFaultSpan},
	"all half cut off":   {Planner: fleetsim.All, Kind: fleetsim.Partitioned, At: simFaultAt, For: simFaultSpan},
	"all slow":           {Planner: fleetsim.All, Kind: fleetsim.Slow, At: simFaultAt, For: simFaultSpan},
}

// simCase is a simulated tier.
type simCase struct {
	nodes     int
	load      float64
	condition string // "" for none
	mode      string
	fault     string // "" for none
}

// simCases returns tiers of several sizes, loads and conditions, each in several modes, and tiers with faults of
// planners.
func simCases() []simCase {
	var cases []simCase
	for _, nodes := range []int{4, 10, 30, 100} {
		modes := []string{oneLevel, oneForwarderTier}
		if nodes == 30 {
			modes = []string{oneLevel, onePlanner, threeByKey, threeByZone, oneForwarderTier, twoByZone}
		}
		// Requests whose keys a server has seen before take less work: servers are saturated only at a load of
		// about 1.5.
		for _, load := range []float64{0.75, 0.95, 1.3, 1.6} {
			for _, mode := range modes {
				cases = append(cases, simCase{nodes, load, "", mode, ""})
			}
		}
		for _, mode := range modes {
			cases = append(cases, simCase{nodes, 0.95, serversRestart, mode, ""})
		}
		for _, mode := range modes {
			cases = append(cases, simCase{nodes, 0.8, smallZone, mode, ""})
		}
	}
	for _, fault := range slices.Sorted(maps.Keys(simFaults)) {
		for _, mode := range []string{oneForwarderTier, twoByZone} {
			cases = append(cases, simCase{30, 0.95, serversRestart, mode, fault})
		}
	}
	return cases
}

func (c simCase) servers() int { return c.nodes * 20 / 3 }

// settings returns the settings of the simulation with a seed.
func (c simCase) settings(seed uint64) fleetsim.Settings {
	settings := fleetsim.Settings{Nodes: c.nodes, Servers: c.servers(), Load: c.load, Duration: 15 * time.Second, Seed: seed}
	switch c.mode {
	case onePlanner:
		settings.Planners = 1
	case threeByKey:
		settings.Planners = 3
	case threeByZone:
		settings.ZonePlanners = true
	case oneForwarderTier:
		settings.PlannersPerZone = 1
	case twoByZone:
		settings.PlannersPerZone = 2
	}
	if f, ok := simFaults[c.fault]; ok {
		settings.Faults = []fleetsim.Fault{f}
	}
	switch c.condition {
	case serversRestart:
		settings.RestartShare, settings.RestartEvery = 0.08, 3*time.Second
	case smallZone:
		settings.SmallZoneShare = 0.3
	}
	return settings
}

// loadLabel returns a label that consists of the load, the condition and the fault.
func (c simCase) loadLabel() string {
	label := fmt.Sprint(c.load)
	for _, part := range []string{c.condition, c.fault} {
		if part != "" {
			label += ", " + part
		}
	}
	return label
}

// plannersSimRun compares single-level nodes with shared planners and forwarders in virtual time, for several sizes
// of a tier, loads and faults, with the same seeds.
func plannersSimRun(ctx context.Context, out io.Writer) (measurements, error) {
	cases := simCases()
	results, err := simulateCases(ctx, cases)
	if err != nil {
		return nil, err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes\tservers\tload\tmode\tmissed %\tmin by seed\tmax by seed\tmissed priority weight %\tp50 ms\tp99 ms\tattempts/request\tcross-zone %\t")
	var measured measurements
	violations := 0
	for i, c := range cases {
		mean := meanOf(results[i])
		violations += mean.violations
		mean.printRow(w, c)
		if c.nodes == 30 && (c.mode == oneLevel || c.mode == oneForwarderTier) {
			nameParts := strings.Join([]string{"missed", c.mode, fmt.Sprint(c.load), c.condition, c.fault}, " ")
			measured.add(strings.Join(strings.Fields(nameParts), "_"), "%.2f", mean.missed)
		}
	}
	if err := flushTable(w); err != nil {
		return nil, err
	}
	if violations > 0 {
		return measured, fmt.Errorf("%w: %d requests never ended or were executed twice", errBound, violations)
	}
	return measured, nil
}

// simulateCases simulates each case with each seed, and returns the results by case and seed.
func simulateCases(ctx context.Context, cases []simCase) ([][simSeeds]*fleetsim.Result, error) {
	results := make([][simSeeds]*fleetsim.Result, len(cases))
	errs := runParallel(ctx, len(cases)*simSeeds, runtime.NumCPU(), func(i int) (err error) {
		c, seed := i/simSeeds, i%simSeeds
		results[c][seed], err = fleetsim.Run(cases[c].settings(uint64(seed + 1)))
		return err
	})
	for _, err := range errs {
		if err != nil { // the other errors have the same cause, or are the error of ctx
			return nil, fmt.Errorf("simulating tiers: %w", err)
		}
	}
	return results, nil
}

// simMean is the mean of a case's results over the seeds.
type simMean struct {
	missed, minMissed, maxMissed float64 // percent of the requests that missed their latency objective
	weightMissed                 float64 // percent of the priority weight that missed its latency objective
	attempts                     float64 // attempts per request
	crossed                      float64 // percent of attempts that went to another zone
	p50MS, p99MS                 float64
	violations                   int // requests that never ended or were executed twice; summed over the seeds
}

func meanOf(results [simSeeds]*fleetsim.Result) simMean {
	mean := simMean{minMissed: 100}
	for _, r := range results {
		missed := 100 * r.MissedShare()
		mean.minMissed, mean.maxMissed = min(mean.minMissed, missed), max(mean.maxMissed, missed)
		mean.missed += missed / simSeeds
		mean.weightMissed += 100 * r.PriorityWeightMissed / r.PriorityWeight / simSeeds
		mean.attempts += float64(r.Attempts) / float64(r.Requests) / simSeeds
		mean.crossed += 100 * float64(r.CrossZone) / float64(r.Attempts) / simSeeds
		mean.p50MS += milliseconds(r.Quantile(0.5)) / simSeeds
		mean.p99MS += milliseconds(r.Quantile(0.99)) / simSeeds
		mean.violations += r.Unended + r.RanTwice
	}
	return mean
}

func (mean simMean) printRow(w io.Writer, c simCase) {
	fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.3f\t%.1f\t\n", c.nodes, c.servers(), c.loadLabel(), c.mode,
		mean.missed, mean.minMissed, mean.maxMissed, mean.weightMissed, mean.p50MS, mean.p99MS, mean.attempts, mean.crossed)
}
