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

// soakFlags say which plans are run.
type soakFlags struct {
	seed     uint64
	seeds    int
	duration time.Duration
	jobs     int
	drop     []int // indices of faults
	minimize bool
	failFast bool
}

func parseSoakFlags(args []string) (f soakFlags, err error) {
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	set.Uint64Var(&f.seed, "seed", 1, "the first seed")
	set.IntVar(&f.seeds, "seeds", 1, "how many consecutive seeds")
	set.DurationVar(&f.duration, "for", 20*time.Second, "how long a plan lasts")
	set.IntVar(&f.jobs, "jobs", 2, "how many plans are run at a time")
	set.BoolVar(&f.minimize, "least", false, "remove faults from the first plan that fails, one by one, as long as it fails")
	set.BoolVar(&f.failFast, "first", false, "run no further seed once one has failed")
	set.Func("drop", "indices of faults to leave out, as 0,3", func(text string) error {
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

// plan is the plan of a seed.
func (f soakFlags) plan(seed uint64) soak.Plan {
	return soak.NewPlan(seed, f.duration).Drop(f.drop)
}

// soakSummary adds up the outcomes of plans that run at the same time, and prints violations.
type soakSummary struct {
	flags soakFlags

	mu                 sync.Mutex
	out                io.Writer
	failedSeeds        []uint64
	notRun             int // the harness failed
	requests, attempts int
	violationsByRule   map[soak.Rule]int
}

// add adds the outcome of one plan.
func (s *soakSummary) add(seed uint64, r *soak.Record, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.notRun++
		fmt.Fprintf(s.out, "seed %d: not played: %v\n", seed, err)
		return
	}
	s.requests, s.attempts = s.requests+len(r.Requests), s.attempts+len(r.Attempts)
	violations := soak.Check(r)
	if len(violations) == 0 {
		return
	}
	s.failedSeeds = append(s.failedSeeds, seed)
	for _, v := range violations {
		s.violationsByRule[v.Rule]++
	}
	printViolations(s.out, r, violations, s.flags)
}

// hasFailed reports whether any plan had a violation so far.
func (s *soakSummary) hasFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.failedSeeds) > 0
}

// soakRun runs plans of overlapping faults against real processes, and prints violations.
func soakRun(ctx context.Context, out io.Writer, args []string) (measurements, error) {
	f, err := parseSoakFlags(args)
	if err != nil {
		return nil, err
	}
	s := &soakSummary{flags: f, out: out, violationsByRule: make(map[soak.Rule]int)}
	run := s.runSeeds(ctx)
	if f.minimize && len(s.failedSeeds) > 0 {
		minimizePlan(ctx, out, f.plan(s.failedSeeds[0]))
	}
	var m measurements
	m.add("seeds", "%d", run)
	m.add("failed", "%d", len(s.failedSeeds))
	m.add("not_played", "%d", s.notRun)
	m.add("requests", "%d", s.requests)
	m.add("attempts", "%d", s.attempts)
	if len(s.failedSeeds) > 0 {
		return m, fmt.Errorf("%w: seeds %v: %v", errBound, s.failedSeeds, s.violationsByRule)
	}
	return m, ctx.Err()
}

// runSeeds runs the plans of all seeds, some at a time, and returns how many it has run.
func (s *soakSummary) runSeeds(ctx context.Context) int {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range s.flags.jobs {
		workers.Go(func() {
			for seed := range seeds {
				r, err := runPlan(ctx, s.flags.plan(seed))
				s.add(seed, r, err)
			}
		})
	}
	run := 0
	for run < s.flags.seeds && ctx.Err() == nil {
		if s.flags.failFast && s.hasFailed() {
			break
		}
		seeds <- s.flags.seed + uint64(run)
		run++
	}
	close(seeds)
	workers.Wait()
	return run
}

// runPlan runs one plan in a folder of its own.
func runPlan(ctx context.Context, plan soak.Plan) (*soak.Record, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	p, err := childProgram(nodeChild)
	if err != nil {
		return nil, err
	}
	return soak.Run(ctx, plan, soak.Options{Program: p, Dir: dir})
}

// maxPrinted bounds the violations that are printed of one plan.
const maxPrinted = 6

// printViolations prints a plan, its violations with their stories, and how to run it again.
func printViolations(out io.Writer, r *soak.Record, violations []soak.Violation, f soakFlags) {
	p := r.Plan
	fmt.Fprintf(out, "seed %d: %d nodes, %d servers, %.0f requests a second, skew %v, cold %v, grace %v\n", p.Seed, p.Nodes, p.Servers, p.Rate, p.ClockSkew, p.SlowStart, p.DrainGrace)
	for i, fault := range p.Faults {
		fmt.Fprintf(out, "  fault %d: %v\n", i, fault)
	}
	for i, v := range violations {
		if i == maxPrinted {
			fmt.Fprintf(out, "  and %d more\n", len(violations)-i)
			break
		}
		fmt.Fprintf(out, "  violated: %s: %s\n", v.Rule, v.Text)
		for _, line := range soak.RequestEvents(r, v.RequestID) {
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
	fmt.Fprintf(out, "  again: experiment soak -seed %d -for %v%s\n", p.Seed, f.duration, drop)
}

// minimizePlan removes one fault after another from a plan for as long as it still fails, and prints those
// that are left.
func minimizePlan(ctx context.Context, out io.Writer, plan soak.Plan) {
	for i := 0; i < len(plan.Faults) && ctx.Err() == nil; {
		smaller := plan.Without(i)
		r, err := runPlan(ctx, smaller)
		if err == nil && len(soak.Check(r)) > 0 {
			plan = smaller
			continue
		}
		i++
	}
	fmt.Fprintf(out, "seed %d still fails with:\n", plan.Seed)
	for _, fault := range plan.Faults {
		fmt.Fprintf(out, "  %v\n", fault)
	}
}
