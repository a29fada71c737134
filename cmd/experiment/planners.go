package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator"
)

const (
	plannerSeeds     = 5
	firstPlannerSeed = 31
	// maxWorse is by how many standard errors of the difference, over the seeds, killed planners may push
	// missed objectives above those of one level: less is noise.
	maxWorse = 2
)

// tierCase is a case of the planners scenario.
type tierCase struct {
	name         string
	load         float64 // share of the servers' capacity
	burst        float64 // further share, for a time
	withPlanners bool    // forwarders with planners, rather than nodes of one level
	killed       int     // planners that are killed during the burst
	restarts     bool    // servers restart
}

// plannerCases are steady loads, a burst and restarts, each without and with planners, and bursts in which
// planners are killed.
func plannerCases() []tierCase {
	var cases []tierCase
	for _, planners := range []bool{false, true} {
		for _, load := range []float64{0.5, 0.75, 0.95} {
			cases = append(cases, tierCase{name: fmt.Sprint("calm ", load), load: load, withPlanners: planners})
		}
		cases = append(cases,
			tierCase{name: "burst", load: 0.75, burst: 0.25, withPlanners: planners},
			tierCase{name: "restarts", load: 0.75, restarts: true, withPlanners: planners})
	}
	return append(cases,
		tierCase{name: "burst", load: 0.75, burst: 0.25, withPlanners: true, killed: 1},
		tierCase{name: "burst", load: 0.75, burst: 0.25, withPlanners: true, killed: tierPlanners})
}

func (c tierCase) label() string {
	label := c.name + ", one level"
	if c.withPlanners {
		label = c.name + ", planners"
	}
	if c.killed > 0 {
		label += fmt.Sprintf(", %d killed", c.killed)
	}
	return label
}

// measurementName is a label as a part of a measurement's name.
func measurementName(label string) string {
	return strings.NewReplacer(" ", "_", ",", "").Replace(label)
}

// plannersRun compares forwarders with planners with nodes of one level, by processes.
func plannersRun(ctx context.Context, out io.Writer) (measurements, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	cases := plannerCases()
	results := make([][]*tierResult, len(cases))
	for seed := uint64(firstPlannerSeed); seed < firstPlannerSeed+plannerSeeds; seed++ {
		for i, c := range cases { // seed by seed, so that other work on the machine affects all cases
			r, err := runTier(ctx, dir, seed, c)
			if err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", c.label(), seed, err)
			}
			results[i] = append(results[i], r)
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\tasked\tmissed %\tleast\tmost\tp50 ms\tp99 ms\truns a request\tforwarders us\tplanners us\tbytes between\tlost, wrong or twice\t")
	var m measurements
	bad := 0
	missed := make(map[string]perSeed) // percent, by label
	for i, c := range cases {
		all, percent := sumTierResults(results[i])
		missed[c.label()] = percent
		bad += all.bad()
		all.printRow(w, c.label(), percent)
		m.add(measurementName(c.label())+"_missed_pct", "%.3f", 100*all.Missed())
	}
	if err := flushTable(w); err != nil {
		return nil, err
	}
	if err := compareKilledPlanners(&m, missed); err != nil {
		return m, err
	}
	if bad > 0 {
		return m, fmt.Errorf("%w: %d answers lost or wrong, or requests that were executed twice", errBound, bad)
	}
	return m, nil
}

// compareKilledPlanners checks that a burst in which planners are killed is no worse than at one level.
func compareKilledPlanners(m *measurements, missed map[string]perSeed) error {
	oneLevel := missed["burst, one level"]
	for _, killed := range []int{1, tierPlanners} {
		label := tierCase{name: "burst", withPlanners: true, killed: killed}.label()
		worse, noise := oneLevel.differenceTo(missed[label])
		m.add(measurementName(label)+"_worse_points", "%.2f", worse)
		m.add("noise_points", "%.2f", noise)
		if worse > maxWorse*noise {
			return fmt.Errorf("%w: %s: %.2f points more missed than at one level, with a standard error of %.2f", errBound, label, worse, noise)
		}
	}
	return nil
}

// perSeed is a value for each seed.
type perSeed []float64

// differenceTo is by how much another's values are higher on average, seed by seed, and the standard error of
// that.
func (p perSeed) differenceTo(o perSeed) (diff, standardError float64) {
	n := float64(len(p))
	for i := range p {
		diff += (o[i] - p[i]) / n
	}
	variance := 0.0
	for i := range p {
		d := o[i] - p[i] - diff
		variance += d * d / (n - 1)
	}
	return diff, math.Sqrt(variance / n)
}

// tierResult is what came of a case on one seed, or on all.
type tierResult struct {
	emulator.Tally
	executions          int
	twice               int // requests that must not be repeated and were executed twice
	nodeCPU, plannerCPU time.Duration
	plannerBytes        int64 // between forwarders and planners
	attempts            int64 // of clients, those of the warm-up included
}

// bad counts what must never happen.
func (r *tierResult) bad() int { return r.twice + r.Results[emulator.Lost] + r.Results[emulator.Wrong] }

// sumTierResults adds up results, and returns the missed objectives of each, in percent.
func sumTierResults(results []*tierResult) (all tierResult, missed perSeed) {
	for _, r := range results {
		all.Add(&r.Tally)
		all.executions += r.executions
		all.twice += r.twice
		all.nodeCPU += r.nodeCPU
		all.plannerCPU += r.plannerCPU
		all.plannerBytes += r.plannerBytes
		all.attempts += r.attempts
		missed = append(missed, 100*r.Missed())
	}
	return all, missed
}

func (r *tierResult) printRow(w io.Writer, label string, missed perSeed) {
	attempts := float64(max(r.attempts, 1))
	us := func(d time.Duration) float64 { return float64(d.Microseconds()) / attempts }
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t\n", label, r.Requests, 100*r.Missed(), slices.Min(missed), slices.Max(missed),
		milliseconds(r.Quantile(0.5)), milliseconds(r.Quantile(0.99)), float64(r.executions)/attempts, us(r.nodeCPU), us(r.plannerCPU),
		float64(r.plannerBytes)/attempts, r.bad())
}
