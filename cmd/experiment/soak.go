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

	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/soak"
)

// soakFlags are the flags of the soak scenario.
type soakFlags struct {
	seed     uint64
	seeds    int
	duration time.Duration
	jobs     int
	drop     []int  // indices of faults to leave out of each plan
	program  string // path of the program as it is deployed; "" for this program
	minimize bool
	failFast bool
}

func parseSoakFlags(args []string) (f soakFlags, err error) {
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	set.Uint64Var(&f.seed, "seed", 1, "first seed")
	set.IntVar(&f.seeds, "seeds", 1, "number of consecutive seeds")
	set.DurationVar(&f.duration, "for", 20*time.Second, "duration of a plan")
	set.IntVar(&f.jobs, "jobs", 2, "number of plans that run at the same time")
	set.StringVar(&f.program, "program", "", "run nodes with the program at this path, as it is deployed, and count their memory")
	set.BoolVar(&f.minimize, "least", false, "remove faults from the first failed plan, one by one, while it still fails")
	set.BoolVar(&f.failFast, "first", false, "start no further seed once one has failed")
	set.Func("drop", "comma-separated indices of faults to leave out, for example 0,3", func(text string) error {
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

// plan returns the plan of a seed, without the faults to leave out.
func (f soakFlags) plan(seed uint64) soak.Plan {
	if f.program != "" {
		return soak.NewDeployedPlan(seed, f.duration).Drop(f.drop)
	}
	return soak.NewPlan(seed, f.duration).Drop(f.drop)
}

// soakSummary adds up the outcomes of plans that run at the same time, and prints violations.
type soakSummary struct {
	flags soakFlags

	mu                 sync.Mutex
	out                io.Writer
	failedSeeds        []uint64
	notRun             int // plans that the harness failed to run
	requests, attempts int
	violationsByRule   map[soak.Rule]int
}

// add records the outcome of one plan. Goroutines may call it concurrently.
func (s *soakSummary) add(seed uint64, r *soak.Record, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.notRun++
		fmt.Fprintf(s.out, "seed %d: not run: %v\n", seed, err)
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

// hasFailed reports whether any plan has had a violation so far.
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
		f.minimizePlan(ctx, out, f.plan(s.failedSeeds[0]))
	}
	var measured measurements
	measured.add("seeds", "%d", run)
	measured.add("failed", "%d", len(s.failedSeeds))
	measured.add("not_played", "%d", s.notRun)
	measured.add("requests", "%d", s.requests)
	measured.add("attempts", "%d", s.attempts)
	if len(s.failedSeeds) > 0 {
		return measured, fmt.Errorf("%w: seeds %v: %v", errBound, s.failedSeeds, s.violationsByRule)
	}
	return measured, ctx.Err()
}

// runSeeds runs the plans of all seeds, flags.jobs at a time, and returns the number of plans that it has started.
func (s *soakSummary) runSeeds(ctx context.Context) int {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range s.flags.jobs {
		workers.Go(func() {
			for seed := range seeds {
				r, err := s.flags.runPlan(ctx, s.flags.plan(seed))
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

// runPlan runs one plan in its own directory.
func (f soakFlags) runPlan(ctx context.Context, plan soak.Plan) (*soak.Record, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if f.program != "" {
		return soak.Run(ctx, plan, soak.Options{Program: testbed.Program{Path: f.program}, Dir: dir, Deployed: true})
	}
	p, err := childProgram(nodeChild)
	if err != nil {
		return nil, err
	}
	return soak.Run(ctx, plan, soak.Options{Program: p, Dir: dir})
}

// maxPrinted is the maximum number of violations printed for one plan.
const maxPrinted = 6

// printViolations prints a plan, its violations with the events of their requests, and the command that runs the
// plan again.
func printViolations(out io.Writer, r *soak.Record, violations []soak.Violation, flags soakFlags) {
	plan := r.Plan
	fmt.Fprintf(out, "seed %d: %d nodes, %d servers, %.0f requests/s, %d MB, %d descriptors, all forms: %t, clock skew %v, slow start %v, drain grace period %v\n", plan.Seed, plan.Nodes, plan.Servers, plan.Rate, plan.MemoryMB, plan.Descriptors, plan.AllForms, plan.ClockSkew, plan.SlowStart, plan.DrainGrace)
	for i, fault := range plan.Faults {
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
	if len(flags.drop) > 0 {
		drop = " -drop " + strings.Trim(strings.ReplaceAll(fmt.Sprint(flags.drop), " ", ","), "[]")
	}
	fmt.Fprintf(out, "  run it again: experiment soak -seed %d -for %v%s\n", plan.Seed, flags.duration, drop)
}

// minimizePlan removes faults from a plan one by one. It keeps a fault only if the plan does not fail without it, and
// prints the remaining faults.
func (f soakFlags) minimizePlan(ctx context.Context, out io.Writer, plan soak.Plan) {
	for i := 0; i < len(plan.Faults) && ctx.Err() == nil; {
		smaller := plan.Without(i)
		r, err := f.runPlan(ctx, smaller)
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
