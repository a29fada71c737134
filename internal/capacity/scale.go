package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator/testbed"
)

// Deployment is the size that has to be carried, and what may be used for it.
type Deployment struct {
	Nodes, Servers, Services int
	Routes, Tenants          int
	Requests                 float64 // a second, at the peak
	Changes                  float64 // of the configuration, a day
	Restarts                 float64 // of nodes, a day
	Machines                 int     // set aside for control
	// What a node may spend on control, and add to a request for 99 in 100.
	Core   float64 // of a core
	Memory float64 // MB
	Bytes  float64 // a second
	Added  float64 // ms
}

// Stated is the operators' size in two years.
var Stated = Deployment{
	Nodes: 2_600, Servers: 27_000, Services: 1_300, Routes: 37_000, Tenants: 140_000,
	Requests: 270_000, Changes: 2_500, Restarts: 1_700, Machines: 15,
	Core: 0.021, Memory: 64, Bytes: 6_000, Added: 5.3,
}

// per is a size's part for each of so many, one at the least.
func per(all, of int) float64 { return max(1, float64(all)/float64(max(1, of))) }

// Options say what trials have at hand.
type Options struct {
	Deployment
	Small bool   // a few seconds in all: sizes that show that a trial works, and little else
	Dir   string // for files and logs
	// Node starts a node of the program by its file.
	Node func(dir, name, file string) (*testbed.Process, error)
	Log  io.Writer // of how far a run is
}

// sizes are those of a trial, or a small run's.
func (o Options) sizes(small []int, all ...int) []int {
	if o.Small {
		return small
	}
	return all
}

// Trial measures some slopes of one role.
type Trial struct {
	Name  string
	About string
	run   func(context.Context, Options) (Found, error)
}

// Found is what a trial found: slopes, and what else is to be said, a line each.
type Found struct {
	Slopes []Slope
	Notes  []string
}

func (f *Found) note(format string, args ...any) {
	f.Notes = append(f.Notes, fmt.Sprintf(format, args...))
}

// Trials are all there are, the most telling first.
var Trials = []Trial{
	{"file", "what a node's file costs: read, checked, in force, at rest", files},
	{"members", "members of a fleet that know of each other, by their number", membersOf},
	{"discovery", "what a node with many pools asks of discovery", asked},
	{"decide", "a pool's tick, sweep and requests by its servers; pools at rest", decisions},
	{"route", "look-up by routes, limits by tenants", lookups},
	{"requests", "what a node adds to requests, and its figures at the door, by its services", added},
	{"central", "a planner by its forwarders, the group by its instances", central},
	{"counts", "a server's failures told by the calls that one node sends it", counts},
}

// Run plays one trial and prints its tables.
func (t Trial) Run(ctx context.Context, o Options, out io.Writer) (Found, error) {
	began, cpu := time.Now(), processorTime()
	found, err := t.run(ctx, o)
	if err != nil {
		return found, fmt.Errorf("%s: %w", t.Name, err)
	}
	fmt.Fprintf(out, "\n%s: %s\n", t.Name, t.About)
	if o.Small { // what so little is fitted to is no verdict on the stated size
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

// Print prints slopes with their verdicts, a table for each role.
func Print(out io.Writer, slopes []Slope) error {
	var roles []string
	for _, s := range slopes {
		if !slices.Contains(roles, s.Role) {
			roles = append(roles, s.Role)
		}
	}
	for _, role := range roles {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintf(w, "%s\tunit\tby\tmeasured, size: value\tfit of x\terror\texponent\tgrows\tat\tcomes to\tallowed\t\n", role)
		for _, s := range slopes {
			if s.Role != role {
				continue
			}
			var at []string
			for _, p := range s.Samples {
				at = append(at, digits(p.Size)+": "+digits(p.Value))
			}
			v, err := s.Judge()
			if errors.Is(err, ErrSamples) { // less than what can be measured, as a rule
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\tnone: %v\t\t\t\t\t\t\t\n", s.Name, s.Unit, s.By, strings.Join(at, ", "), ErrSamples)
				continue
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%.0f%%, last foretold to %.0f%%\t%.2f ± %.2f\t%s\t%s\t%s\t%s\t\n",
				s.Name, s.Unit, s.By, strings.Join(at, ", "), v.Fit, 100*v.Error, 100*v.Foretold, v.Exponent, v.ExponentError, v.Growth(), s.where(v), digits(v.Value), s.word(v))
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("printing the table: %w", err)
		}
	}
	return nil
}

// where says at which size a value stands and whether it was reached.
func (s Slope) where(v Verdict) string {
	if v.Extrapolated {
		return digits(s.Stated) + ", extrapolated from " + digits(v.Reached)
	}
	return digits(s.Stated)
}

// word is a verdict's.
func (s Slope) word(v Verdict) string {
	switch {
	case s.Allowed == 0:
		return "-"
	case v.Over:
		return fmt.Sprintf("%s: **over**, %.1f times", digits(s.Allowed), v.Factor)
	}
	return fmt.Sprintf("%s: *holds*, %.0f%%", digits(s.Allowed), 100*v.Factor)
}

// digits writes a number with three digits that count, or whole.
func digits(v float64) string {
	if v == 0 || math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', min(4, max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))), 64)
}

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the call has no other mistake than a wrong constant
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// tries is how often a short figure is taken: the median counts.
const tries = 3

// cost is the processor time of one call of do, over so many as take some milliseconds: the median
// of some tries.
func (o Options) cost(do func()) time.Duration {
	do() // what is made once is made
	least, times := 20*time.Millisecond, tries
	if o.Small {
		least, times = time.Millisecond, 1
	}
	var all []time.Duration
	for range times {
		for n := 1; ; n *= 4 {
			began := processorTime()
			for range n {
				do()
			}
			if took := processorTime() - began; took >= least {
				all = append(all, took/time.Duration(n))
				break
			}
		}
	}
	return median(all)
}

func median[T interface{ ~int64 | ~float64 }](all []T) T {
	all = slices.Sorted(slices.Values(all))
	return all[len(all)/2]
}

// heap is what build leaves on the heap, in bytes, while what it built is alive.
func heap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// named is a slope of the same size as another, without samples.
func (s Slope) named(name, unit string, allowed float64) *Slope {
	s.Name, s.Unit, s.Allowed, s.Samples = name, unit, allowed, nil
	return &s
}

// gather collects slopes one after the other until one fails.
type gather struct {
	Found
	ctx context.Context
	err error
}

// slope measures a figure at each size.
func (g *gather) slope(s *Slope, sizes []int, measure func(size int) (float64, error)) {
	for _, n := range sizes {
		if g.err == nil {
			g.err = g.ctx.Err()
		}
		if g.err != nil {
			return
		}
		v, err := measure(n)
		if err != nil {
			g.err = fmt.Errorf("%s at %d: %w", s.Name, n, err)
			return
		}
		s.Samples = append(s.Samples, Sample{float64(n), v})
	}
	g.Slopes = append(g.Slopes, *s)
}
