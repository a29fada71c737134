package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

const (
	readyBy     = 10 * time.Second // nine in ten processes
	readyLast   = 30 * time.Second // all of them
	readyRounds = 5
)

// readyRun restarts many processes together, again and again, and tells how long they take until they are
// ready. Each round counts by itself.
func readyRun(ctx context.Context, out io.Writer) (figures, error) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "ms until ready, %d restarts\thalf\tnine in ten, worst restart\tall\n", readyRounds)
	var f figures
	var broken error
	for _, nodes := range []int{30, 60} {
		for _, how := range []string{"serves", "overrun", "down"} {
			for _, kill := range []bool{true, false} {
				if err := ctx.Err(); err != nil {
					return f, err
				}
				all, worst, err := restarts(nodes, how, kill)
				if err != nil {
					return f, err
				}
				slices.Sort(all)
				name := fmt.Sprintf("%d_%s_%s", nodes, how, map[bool]string{true: "killed", false: "ended"}[kill])
				fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\n", name, ms(all[len(all)/2]), ms(worst), ms(all[len(all)-1]))
				f.add(name+"_p90_ms", "%.0f", ms(worst))
				if worst > readyBy {
					broken = fmt.Errorf("%w: %s: %v until nine in ten were ready", errBound, name, worst)
				}
			}
		}
	}
	if err := w.Flush(); err != nil {
		return f, err
	}
	return f, broken
}

// restarts gives how long each process took in all rounds, and the worst of the rounds for nine in ten.
func restarts(nodes int, how string, kill bool) (all []time.Duration, worst time.Duration, err error) {
	dir, err := os.MkdirTemp("", "jasperpin-experiment")
	if err != nil {
		return nil, 0, fmt.Errorf("a place for files: %w", err)
	}
	defer os.RemoveAll(dir)
	server, err := emulator.NewRaw(emulator.Echo)
	if err != nil {
		return nil, 0, err
	}
	defer server.Close()
	d, err := emulator.NewDiscovery(emulator.Hosts(server.Addr)...)
	if err != nil {
		return nil, 0, err
	}
	defer d.Close()
	switch how {
	case "overrun":
		d.Overrun(400 * time.Millisecond)
	case "down":
		_ = d.Close()
	}
	p, err := program("node")
	if err != nil {
		return nil, 0, err
	}
	n, err := testbed.NewNodes(p, dir, nodes, d.Addr, emulator.Hosts(server.Addr)...)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = n.End(true) }()
	for round := range readyRounds + 1 { // the first begins, and has nothing restarted
		if err := n.End(kill); err != nil {
			return nil, 0, err
		}
		took, err := n.Start(readyLast)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: %w", errBound, err)
		}
		time.Sleep(2 * time.Second) // for their first calls of discovery
		if round > 0 {
			all, worst = append(all, took...), max(worst, took[nodes*9/10-1])
		}
	}
	return all, worst, nil
}
