package capacity

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Trial measures slopes of one part of the program.
type Trial struct {
	Name  string
	About string
	run   func(context.Context, Options) (Findings, error)
}

// Findings are the results of a trial: slopes, and notes of one line each.
type Findings struct {
	Slopes []Slope
	Notes  []string
}

func (f *Findings) notef(format string, args ...any) {
	f.Notes = append(f.Notes, fmt.Sprintf(format, args...))
}

// Trials are all trials, the most informative first.
var Trials = []Trial{
	{"file", "the cost of a node's file: reading, checking, applying, at rest", fileTrial},
	{"members", "the cost of fleet membership, by the number of members", membersTrial},
	{"discovery", "the load of a node with many pools on discovery", discoveryTrial},
	{"decide", "a pool's tick, sweep and requests by its servers; pools at rest", decisionsTrial},
	{"route", "look-up by routes, limits by tenants", routeTrial},
	{"requests", "the latency that a node adds to requests, and the cost of its metrics, by its services", requestsTrial},
	{"central", "a planner by its forwarders, the group by its instances", centralTrial},
	{"counts", "detection of a failing server by one node's own requests", countsTrial},
}

// Run runs one trial and prints its tables.
func (t Trial) Run(ctx context.Context, o Options, out io.Writer) (Findings, error) {
	began, cpu := time.Now(), processorTime()
	found, err := t.run(ctx, o)
	if err != nil {
		return found, fmt.Errorf("%s: %w", t.Name, err)
	}
	fmt.Fprintf(out, "\n%s: %s\n", t.Name, t.About)
	if o.Small { // sizes this small allow no verdict on the stated size
		for i := range found.Slopes {
			found.Slopes[i].Allowed = 0
		}
	}
	if err := Print(out, found.Slopes); err != nil {
		return found, fmt.Errorf("%s: %w", t.Name, err)
	}
	for _, n := range found.Notes {
		fmt.Fprintln(out, "  "+n)
	}
	fmt.Fprintf(out, "  took %v, %v of this process's processor time\n", time.Since(began).Round(time.Second), (processorTime() - cpu).Round(time.Second))
	return found, nil
}

// slopeCollector measures slopes one after another until a measurement fails.
type slopeCollector struct {
	Findings
	ctx context.Context
	err error // first error; nothing is measured after this error
}

// measure measures a slope's value at each size.
func (c *slopeCollector) measure(s *Slope, sizes []int, at func(size int) (float64, error)) {
	for _, n := range sizes {
		if c.err == nil {
			c.err = c.ctx.Err()
		}
		if c.err != nil {
			return
		}
		v, err := at(n)
		if err != nil {
			c.err = fmt.Errorf("%s at %d: %w", s.Name, n, err)
			return
		}
		s.add(n, v)
	}
	c.Slopes = append(c.Slopes, *s)
}
