package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"jasperpin/internal/fleetsim"
)

// plannersSim compares one level with ways to share a view, over sizes of a tier,
// loads and troubles, in virtual time with the same seeds.
func plannersSim(ctx context.Context, out io.Writer) (figures, error) {
	type row struct {
		nodes   int
		load    float64
		world   string
		mode    string
		trouble string
	}
	const seeds = 5
	var rows []row
	for _, nodes := range []int{4, 10, 30, 100} {
		modes := []string{"one level", "forwarders"}
		if nodes == 30 {
			modes = []string{"one level", "1 planner", "3 by key", "3 by site", "forwarders", "2 a site"}
		}
		// Keys that servers have met save work: the servers are full at 1.5 or so.
		for _, load := range []float64{0.75, 0.95, 1.3, 1.6} {
			for _, mode := range modes {
				rows = append(rows, row{nodes, load, "", mode, ""})
			}
		}
		for _, mode := range modes {
			rows = append(rows, row{nodes, 0.95, "restarts", mode, ""})
		}
		for _, mode := range modes {
			rows = append(rows, row{nodes, 0.8, "small site", mode, ""})
		}
	}
	at, span := 5*time.Second, 4*time.Second
	faults := map[string]fleetsim.Fault{
		"one planner killed": {Planner: 0, Kind: fleetsim.Killed, At: at, For: span},
		"all killed":         {Planner: fleetsim.All, Kind: fleetsim.Killed, At: at, For: span},
		"all paused":         {Planner: fleetsim.All, Kind: fleetsim.Paused, At: at, For: span},
		"all half cut off":   {Planner: fleetsim.All, Kind: fleetsim.Cut, At: at, For: span},
		"all slow":           {Planner: fleetsim.All, Kind: fleetsim.Slow, At: at, For: span},
	}
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		for _, mode := range []string{"forwarders", "2 a site"} {
			rows = append(rows, row{30, 0.95, "restarts", mode, name})
		}
	}
	type job struct{ row, seed int }
	jobs := make(chan job)
	results := make([][seeds]*fleetsim.Result, len(rows))
	var mu sync.Mutex
	var first error
	var wg sync.WaitGroup
	for range runtime.NumCPU() {
		wg.Go(func() {
			for j := range jobs {
				r := rows[j.row]
				set := fleetsim.Settings{Nodes: r.nodes, Servers: r.nodes * 20 / 3, Load: r.load, For: 15 * time.Second, Seed: uint64(j.seed + 1)}
				switch r.mode {
				case "1 planner":
					set.Planners = 1
				case "3 by key":
					set.Planners = 3
				case "3 by site":
					set.SitePlanners = true
				case "forwarders":
					set.Forward = 1
				case "2 a site":
					set.Forward = 2
				}
				if f, ok := faults[r.trouble]; ok {
					set.Faults = []fleetsim.Fault{f}
				}
				switch r.world {
				case "restarts":
					set.Restart, set.RestartEvery = 0.08, 3*time.Second
				case "small site":
					set.SmallSite = 0.3
				}
				res, err := fleetsim.Run(set)
				mu.Lock()
				if err != nil && first == nil {
					first = err
				}
				results[j.row][j.seed] = res
				mu.Unlock()
			}
		})
	}
	for i := range rows {
		for seed := range seeds {
			if ctx.Err() == nil {
				jobs <- job{i, seed}
			}
		}
	}
	close(jobs)
	wg.Wait()
	if first != nil || ctx.Err() != nil {
		return nil, fmt.Errorf("the simulation did not end: %w %w", first, ctx.Err())
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes\tservers\tload\tmode\tmissed %\tby seed, least\tmost\tworth missed %\tp50 ms\tp99 ms\tattempts a request\tcrossed %\t")
	var f figures
	bad := 0
	for i, r := range rows {
		var missed, worth, attempts, crossed, p50, p99 float64
		least, most := 100.0, 0.0
		for _, res := range results[i] {
			m := 100 * res.MissedShare()
			least, most = min(least, m), max(most, m)
			missed += m / seeds
			worth += 100 * res.WorthMissed / res.Worth / seeds
			attempts += float64(res.Attempts) / float64(res.Asked) / seeds
			crossed += 100 * float64(res.Crossed) / float64(res.Attempts) / seeds
			p50 += ms(res.Quantile(0.5)) / seeds
			p99 += ms(res.Quantile(0.99)) / seeds
			bad += res.Open + res.Twice
		}
		load := fmt.Sprint(r.load)
		for _, what := range []string{r.world, r.trouble} {
			if what != "" {
				load += ", " + what
			}
		}
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.3f\t%.1f\t\n", r.nodes, r.nodes*20/3, load, r.mode, missed, least, most, worth, p50, p99, attempts, crossed)
		if r.nodes == 30 && (r.mode == "one level" || r.mode == "forwarders") {
			name := strings.Join(strings.Fields(strings.Join([]string{"missed", r.mode, fmt.Sprint(r.load), r.world, r.trouble}, " ")), "_")
			f.add(name, "%.2f", missed)
		}
	}
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("printing the table: %w", err)
	}
	if bad > 0 {
		return f, fmt.Errorf("%w: %d requests never ended or ran twice", errBound, bad)
	}
	return f, nil
}
