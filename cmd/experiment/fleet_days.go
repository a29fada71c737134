package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"

	"jasperpin/internal/fleetsim"
)

// simulatedDay is a simulation of one kind of day with one seed.
type simulatedDay struct {
	kind     string
	seed     uint64
	settings fleetsim.Settings
	result   *fleetsim.Result
}

// dayColumn is a column of the table: one value of a day's result.
type dayColumn struct {
	name          string
	value         func(*fleetsim.Result) float64
	lowestIsWorst bool
}

var dayColumns = []dayColumn{
	{name: "missed %", value: func(r *fleetsim.Result) float64 { return 100 * float64(r.Missed-r.NoNode) / float64(r.Requests) }},
	{name: "refused %", value: func(r *fleetsim.Result) float64 { return 100 * float64(r.Rejected) / float64(r.Requests) }},
	{name: "cold use", value: (*fleetsim.Result).SlowStartShare, lowestIsWorst: true},
	{name: "cold most", value: func(r *fleetsim.Result) float64 { return r.MaxSlowStartLoad }},
	{name: "fell", value: func(r *fleetsim.Result) float64 { return float64(r.Overloaded) }},
	{name: "after grace", value: func(r *fleetsim.Result) float64 { return float64(r.AfterGrace) }},
	{name: "twice", value: func(r *fleetsim.Result) float64 { return float64(r.RanTwice) }},
	{name: "calls", value: func(r *fleetsim.Result) float64 { return float64(r.Calls) }},
	{name: "calls failed", value: func(r *fleetsim.Result) float64 { return float64(r.CallsFailed) }},
	{name: "connections an attempt", value: func(r *fleetsim.Result) float64 { return float64(r.Connections) / float64(r.Attempts) }},
	{name: "crossed %", value: func(r *fleetsim.Result) float64 { return 100 * float64(r.CrossZone) / float64(r.Attempts) }},
}

// medianAndWorst returns the median and the worst of the column's values over days.
func (c dayColumn) medianAndWorst(days []*simulatedDay) (median, worst float64) {
	values := make([]float64, 0, len(days))
	for _, d := range days {
		values = append(values, c.value(d.result))
	}
	slices.SortFunc(values, cmp.Compare[float64])
	worst = values[len(values)-1]
	if c.lowestIsWorst {
		worst = values[0]
	}
	return values[len(values)/2], worst
}

// fleetDaysRun simulates six kinds of days of a fleet in virtual time, each with several seeds, and checks the
// bounds of each day.
func fleetDaysRun(ctx context.Context, out io.Writer) (measurements, error) {
	const seeds = 6
	days, err := simulateDays(ctx, seeds)
	if err != nil {
		return nil, err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "day, median (worst)")
	for _, c := range dayColumns {
		fmt.Fprint(w, "\t", c.name)
	}
	fmt.Fprintln(w)
	var measured measurements
	var violations []string
	for days := range slices.Chunk(days, seeds) {
		kind := days[0].kind
		fmt.Fprint(w, kind)
		for _, d := range days {
			for _, violation := range d.result.Violations(d.kind, d.settings) {
				violations = append(violations, fmt.Sprintf("%s, seed %d: %s", d.kind, d.seed, violation))
			}
		}
		for _, c := range dayColumns {
			median, worst := c.medianAndWorst(days)
			fmt.Fprintf(w, "\t%.3g (%.3g)", median, worst)
			measured.add(kind+"."+strings.NewReplacer(" %", "", " ", "_").Replace(c.name), "%.4g", worst)
		}
		fmt.Fprintln(w)
	}
	if err := flushTable(w); err != nil {
		return measured, err
	}
	if len(violations) > 0 {
		return measured, fmt.Errorf("%w: %s", errBound, strings.Join(violations, "; "))
	}
	return measured, nil
}

// simulateDays simulates each kind of day with the given number of seeds. It returns the days of a kind one after
// another.
func simulateDays(ctx context.Context, seeds int) ([]*simulatedDay, error) {
	const nodes, servers = 300, 200
	var days []*simulatedDay
	for _, kind := range fleetsim.ScenarioKinds {
		for seed := range seeds {
			days = append(days, &simulatedDay{kind: kind, seed: uint64(seed) + 1})
		}
	}
	errs := runParallel(ctx, len(days), runtime.NumCPU(), func(i int) (err error) {
		d := days[i]
		if d.settings, err = fleetsim.ScenarioSettings(d.kind, nodes, servers, d.seed); err == nil {
			d.result, err = fleetsim.Run(d.settings)
		}
		return err
	})
	for i, d := range days {
		if errs[i] != nil {
			return nil, fmt.Errorf("%s, seed %d: %w", d.kind, d.seed, errs[i])
		}
	}
	return days, nil
}
