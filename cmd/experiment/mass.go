package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"jasperpin/internal/fleetsim"
)

// massRun plays the six days of a fleet of 300 nodes and 200 servers in virtual time, each on
// several seeds, and holds them to what has to hold on each.
func massRun(ctx context.Context, out io.Writer) (figures, error) {
	const nodes, servers, seeds = 300, 200, 6
	type play struct {
		kind string
		seed uint64
		set  fleetsim.Settings
		res  *fleetsim.Result
		err  error
	}
	var plays []*play
	for _, kind := range fleetsim.Kinds {
		for seed := range uint64(seeds) {
			plays = append(plays, &play{kind: kind, seed: seed + 1})
		}
	}
	var wait sync.WaitGroup
	turn := make(chan struct{}, runtime.NumCPU())
	for _, p := range plays {
		wait.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			if p.err = ctx.Err(); p.err != nil {
				return
			}
			if p.set, p.err = fleetsim.Day(p.kind, nodes, servers, p.seed); p.err == nil {
				p.res, p.err = fleetsim.Run(p.set)
			}
		})
	}
	wait.Wait()

	columns := []struct {
		name string
		of   func(*fleetsim.Result) float64
	}{
		{"missed %", func(r *fleetsim.Result) float64 { return 100 * float64(r.Missed-r.Unmet) / float64(r.Asked) }},
		{"refused %", func(r *fleetsim.Result) float64 { return 100 * float64(r.Refused) / float64(r.Asked) }},
		{"cold use", (*fleetsim.Result).ColdShare},
		{"cold most", func(r *fleetsim.Result) float64 { return r.ColdMost }},
		{"fell", func(r *fleetsim.Result) float64 { return float64(r.Fell) }},
		{"after grace", func(r *fleetsim.Result) float64 { return float64(r.AfterGrace) }},
		{"twice", func(r *fleetsim.Result) float64 { return float64(r.Twice) }},
		{"calls", func(r *fleetsim.Result) float64 { return float64(r.Calls) }},
		{"calls failed", func(r *fleetsim.Result) float64 { return float64(r.CallsFailed) }},
		{"connections an attempt", func(r *fleetsim.Result) float64 { return float64(r.Connects) / float64(r.Attempts) }},
		{"crossed %", func(r *fleetsim.Result) float64 { return 100 * float64(r.Crossed) / float64(r.Attempts) }},
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "day, median (worst)")
	for _, c := range columns {
		fmt.Fprint(w, "\t", c.name)
	}
	fmt.Fprintln(w)
	var f figures
	var broken []string
	for kind := range slices.Chunk(plays, seeds) {
		fmt.Fprint(w, kind[0].kind)
		for _, p := range kind {
			if p.err != nil {
				return f, fmt.Errorf("%s, seed %d: %w", p.kind, p.seed, p.err)
			}
			for _, b := range p.res.Broken(p.kind, p.set) {
				broken = append(broken, fmt.Sprintf("%s, seed %d: %s", p.kind, p.seed, b))
			}
		}
		for _, c := range columns {
			got := make([]float64, 0, seeds)
			for _, p := range kind {
				got = append(got, c.of(p.res))
			}
			slices.SortFunc(got, cmp.Compare[float64])
			worst := got[len(got)-1]
			if c.name == "cold use" {
				worst = got[0]
			}
			fmt.Fprintf(w, "\t%.3g (%.3g)", got[len(got)/2], worst)
			f.add(kind[0].kind+"."+strings.NewReplacer(" %", "", " ", "_").Replace(c.name), "%.4g", worst)
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return f, err
	}
	if len(broken) > 0 {
		return f, fmt.Errorf("%w: %s", errBound, strings.Join(broken, "; "))
	}
	return f, nil
}
