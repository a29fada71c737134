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
	// maxStandardErrors is the maximum by which missed objectives with killed planners may exceed those of
	// single-level nodes, in standard errors of the difference over the seeds: less is noise.
	maxStandardErrors = 2
)

// tierCase is a case of the planners scenario.
type tierCase struct {
	name         string
	load         float64 // load, as a share of the servers' capacity
	burst        float64 // additional load during burstSpan, as a share of the servers' capacity
	withPlanners bool    // forwarders with planners instead of single-level nodes
	killed       int     // planners that are killed during the burst
	restarts     bool    // servers restart
}

// plannerCases returns steady loads, a burst and restarts, each without and with planners, and bursts in which
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

// measurementName converts a label into a part of a measurement's name.
func measurementName(label string) string {
	return strings.NewReplacer(" ", "_", ",", "").Replace(label)
}

// plannersRun compares forwarders with planners to single-level nodes, with real processes.
func plannersRun(ctx context.Context, out io.Writer) (measurements, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	cases := plannerCases()
	results := make([][]*tierResult, len(cases))
	for seed := uint64(firstPlannerSeed); seed < firstPlannerSeed+plannerSeeds; seed++ {
		for i, c := range cases { // seed by seed, so that other work on the machine affects all cases alike
			r, err := runTier(ctx, dir, seed, c)
			if err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", c.label(), seed, err)
			}
			results[i] = append(results[i], r)
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\trequests\tmissed %\tmin\tmax\tp50 ms\tp99 ms\texecutions/attempt\tforwarders us/attempt\tplanners us/attempt\tplanner bytes/attempt\tlost, wrong or twice\t")
	var measured measurements
	violations := 0
	missed := make(map[string]perSeed) // percentage of missed objectives, by label
	for i, c := range cases {
		all, percent := sumTierResults(results[i])
		missed[c.label()] = percent
		violations += all.violations()
		all.printRow(w, c.label(), percent)
		measured.add(measurementName(c.label())+"_missed_pct", "%.3f", 100*all.Missed())
	}
	if err := flushTable(w); err != nil {
		return nil, err
	}
	if err := compareKilledPlanners(&measured, missed); err != nil {
		return measured, err
	}
	if violations > 0 {
		return measured, fmt.Errorf("%w: %d requests were lost, got a wrong answer or were executed twice", errBound, violations)
	}
	return measured, nil
}

// compareKilledPlanners checks that no more objectives are missed in a burst in which planners are killed than with
// single-level nodes.
func compareKilledPlanners(measured *measurements, missed map[string]perSeed) error {
	oneLevel := missed["burst, one level"]
	for _, killed := range []int{1, tierPlanners} {
		label := tierCase{name: "burst", withPlanners: true, killed: killed}.label()
		worse, noise := oneLevel.differenceTo(missed[label])
		measured.add(measurementName(label)+"_worse_points", "%.2f", worse)
		measured.add("noise_points", "%.2f", noise)
		if worse > maxStandardErrors*noise {
			return fmt.Errorf("%w: %s: missed objectives are %.2f percentage points above those of single-level nodes, with a standard error of %.2f", errBound, label, worse, noise)
		}
	}
	return nil
}

// perSeed holds a value for each seed.
type perSeed []float64

// differenceTo returns by how much the values of o exceed those of p, on average over the seeds, and the standard
// error of that average.
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

// tierResult is the result of a case with one seed, or the sum over all seeds.
type tierResult struct {
	emulator.Tally
	executions          int
	twice               int // requests that may be executed at most once, but were executed more than once
	nodeCPU, plannerCPU time.Duration
	plannerBytes        int64 // bytes sent between forwarders and planners
	attempts            int64 // attempts of clients, including the warm-up
}

// violations counts the outcomes that must never happen.
func (r *tierResult) violations() int {
	return r.twice + r.Results[emulator.Lost] + r.Results[emulator.Wrong]
}

// sumTierResults adds up results, and returns the missed objectives of each seed, in percent.
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
		float64(r.plannerBytes)/attempts, r.violations())
}
