package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"jasperpin/internal/soak"
)

// soakFlags say which plans are played.
type soakFlags struct {
	seed   uint64
	seeds  int
	length time.Duration
	jobs   int
	drop   []int
	least  bool
	first  bool
}

func parseSoak(args []string) (f soakFlags, err error) {
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	set.Uint64Var(&f.seed, "seed", 1, "the first seed")
	set.IntVar(&f.seeds, "seeds", 1, "how many seeds, one after another")
	set.DurationVar(&f.length, "for", 20*time.Second, "how long a plan lasts")
	set.IntVar(&f.jobs, "jobs", 2, "how many plans are played side by side")
	set.BoolVar(&f.least, "least", false, "leave troubles out of a plan that fails, one by one, as long as it fails")
	set.BoolVar(&f.first, "first", false, "play no further seed once one has failed")
	set.Func("drop", "the numbers of troubles to leave out, as 0,3", func(text string) error {
		for _, word := range strings.Split(text, ",") {
			n, err := strconv.Atoi(word)
			if err != nil {
				return err
			}
			f.drop = append(f.drop, n)
		}
		return nil
	})
	return f, set.Parse(args)
}

// soakRun plays plans of real processes whose faults overlap, and prints what promises were broken.
func soakRun(ctx context.Context, out io.Writer, args []string) (figures, error) {
	f, err := parseSoak(args)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var failed []uint64
	var harness, requests, attempts int
	rules := make(map[soak.Rule]int)
	seeds := make(chan uint64)
	var all sync.WaitGroup
	for range f.jobs {
		all.Go(func() {
			for seed := range seeds {
				plan := soak.NewPlan(seed, f.length).Drop(f.drop)
				r, err := playSoak(ctx, plan)
				mu.Lock()
				switch {
				case err != nil:
					harness++
					fmt.Fprintf(out, "seed %d: not played: %v\n", seed, err)
				default:
					requests, attempts = requests+len(r.Requests), attempts+len(r.Attempts)
					if found := soak.Check(r); len(found) > 0 {
						failed = append(failed, seed)
						for _, v := range found {
							rules[v.Rule]++
						}
						printSoak(out, r, found, f)
					}
				}
				mu.Unlock()
			}
		})
	}
	played := 0
	for i := range f.seeds {
		mu.Lock()
		enough := f.first && len(failed) > 0
		mu.Unlock()
		if enough || ctx.Err() != nil {
			break
		}
		seeds <- f.seed + uint64(i)
		played++
	}
	close(seeds)
	all.Wait()
	if f.least && len(failed) > 0 {
		leastSoak(ctx, out, soak.NewPlan(failed[0], f.length).Drop(f.drop))
	}
	var figs figures
	figs.add("seeds", "%d", played)
	figs.add("failed", "%d", len(failed))
	figs.add("not_played", "%d", harness)
	figs.add("requests", "%d", requests)
	figs.add("attempts", "%d", attempts)
	if len(failed) > 0 {
		return figs, fmt.Errorf("%w: seeds %v: %v", errBound, failed, rules)
	}
	return figs, ctx.Err()
}

// playSoak plays one plan in a folder of its own.
func playSoak(ctx context.Context, plan soak.Plan) (*soak.Record, error) {
	dir, err := os.MkdirTemp("", "jasperpin-soak")
	if err != nil {
		return nil, fmt.Errorf("a place for files: %w", err)
	}
	defer os.RemoveAll(dir)
	p, err := program("node")
	if err != nil {
		return nil, err
	}
	return soak.Run(ctx, plan, soak.Options{Program: p, Dir: dir})
}

// mostShown bounds what is printed of one plan.
const mostShown = 6

func printSoak(out io.Writer, r *soak.Record, found []soak.Violation, f soakFlags) {
	p := r.Plan
	fmt.Fprintf(out, "seed %d: %d nodes, %d servers, %.0f requests a second, skew %v, cold %v, grace %v\n", p.Seed, p.Nodes, p.Servers, p.Rate, p.ClockSkew, p.SlowStart, p.DrainGrace)
	for i, t := range p.Troubles {
		fmt.Fprintf(out, "  trouble %d: %v\n", i, t)
	}
	for i, v := range found {
		if i == mostShown {
			fmt.Fprintf(out, "  and %d more\n", len(found)-i)
			break
		}
		fmt.Fprintf(out, "  broken: %s: %s\n", v.Rule, v.Text)
		for _, line := range soak.Story(r, v.RequestID) {
			fmt.Fprintf(out, "    %s\n", line)
		}
	}
	for _, line := range r.Log {
		fmt.Fprintf(out, "  %s\n", line)
	}
	drop := ""
	if len(f.drop) > 0 {
		drop = " -drop " + strings.Trim(strings.ReplaceAll(fmt.Sprint(f.drop), " ", ","), "[]")
	}
	fmt.Fprintf(out, "  again: experiment soak -seed %d -for %v%s\n", p.Seed, f.length, drop)
}

// leastSoak leaves out one trouble after another for as long as the plan still fails.
func leastSoak(ctx context.Context, out io.Writer, plan soak.Plan) {
	for i := 0; i < len(plan.Troubles) && ctx.Err() == nil; {
		less := plan.Without(i)
		r, err := playSoak(ctx, less)
		if err == nil && len(soak.Check(r)) > 0 {
			plan = less
			continue
		}
		i++
	}
	fmt.Fprintf(out, "seed %d still fails with:\n", plan.Seed)
	for _, t := range plan.Troubles {
		fmt.Fprintf(out, "  %v\n", t)
	}
}
