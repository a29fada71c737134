package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator"
)

// tempDir creates a directory for a scenario's files. The caller removes it.
func tempDir() (string, error) {
	dir, err := os.MkdirTemp("", "jasperpin-experiment")
	if err != nil {
		return "", fmt.Errorf("creating a temporary directory: %w", err)
	}
	return dir, nil
}

// writeNodeFile writes a node's configuration file.
func writeNodeFile(file, text string) error {
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing a node's configuration file: %w", err)
	}
	return nil
}

// flushTable prints the buffered rows of a table.
func flushTable(w *tabwriter.Writer) error {
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing a table: %w", err)
	}
	return nil
}

// runParallel calls run with 0 to n-1, at most limit calls at a time, and returns their errors, indexed by the
// argument. Once ctx is done it starts no further call, and returns the error of ctx for each of the rest.
func runParallel(ctx context.Context, n, limit int, run func(i int) error) []error {
	errs := make([]error, n)
	slots := make(chan struct{}, limit)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if errs[i] = ctx.Err(); errs[i] == nil {
				errs[i] = run(i)
			}
		})
	}
	running.Wait()
	return errs
}

// closeAll closes emulated servers.
func closeAll(servers []*emulator.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}

// executedTwice counts the requests that may be executed at most once, but were executed more than once by the
// servers together.
func executedTwice(servers []*emulator.Server) (n int) {
	executions := make(map[string]int)
	for _, s := range servers {
		s.AddExecutions(executions)
	}
	for _, times := range executions {
		if times > 1 {
			n++
		}
	}
	return n
}

// totalOf returns the sum of the tallies of all classes.
func totalOf(tallies map[string]*emulator.Tally) (all emulator.Tally) {
	for _, t := range tallies {
		all.Add(t)
	}
	return all
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
