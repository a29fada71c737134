// Command experiment runs the project's measurements. Each scenario has fixed seeds and
// a bounded time, plays on loopback, prints a table and, last, its figures as
// name=value. It exits 1 where a bound that the scenario states is broken. The
// figures are kept in docs/MEASUREMENTS.md; CI runs none of them.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
)

// scenario is one measurement.
type scenario struct {
	about string
	run   func(ctx context.Context, out io.Writer) (figures, error)
}

var scenarios = map[string]scenario{
	"services":     {"a calm service beside an overloaded and a silent one, and reloads under load", services},
	"planners":     {"forwarders with planners beside one level, calm, in a burst and failing", planners},
	"cold":         {"cold servers under the sum of 20 and 30 processes, and of 300 and 2,600 nodes in virtual time", coldRun},
	"planners-sim": {"one level beside shared views of a tier, in virtual time", plannersSim},
	"mass":         {"six days of 300 nodes and 200 servers, in virtual time, on six seeds each", massRun},
	"operation":    {"the operators' door, long bodies beside httputil.ReverseProxy, and their memory", operation},
	"cluster":      {"a group of three voters: memory, compare-and-sets, and leaders killed and stopped", clusterRun},
	"config":       {"changes of the configuration from voters through relays to many hollow nodes", func(ctx context.Context, out io.Writer) (figures, error) { return configRun(ctx, out, os.Args[2:]) }},
	"members":      {"fleets of 5, 12 and 30 processes through joins, leaves, kills, splits, loss and pauses", membersRun},
	"ready":        {"thirty and sixty processes restarted together, before a discovery that serves, is overrun or is down", readyRun},
	"keys":         {"a node's idempotency keys in memory, on the disk, and through kills", keysRun},
	"soak":         {"real processes through faults that overlap, drawn from seeds, with an oracle of its own", func(ctx context.Context, out io.Writer) (figures, error) { return soakRun(ctx, out, os.Args[2:]) }},
	"servers":      {"a real node with a part of a core before 200, 800 and 3,200 listed servers, beside what is allowed", func(ctx context.Context, out io.Writer) (figures, error) { return serversRun(ctx, out, os.Args[2:]) }},
	"scale":        {"how costs grow with the size of a deployment, beside what is allowed there", func(ctx context.Context, out io.Writer) (figures, error) { return scaleRun(ctx, out, os.Args[2:]) }},
	"overhead":     {"processor time and p99 beside httputil.ReverseProxy", overhead},
}

// flagged are the scenarios that take flags.
var flagged = map[string]bool{"scale": true, "config": true, "soak": true, "servers": true}

// figures are a scenario's results, in order.
type figures []string

func (f *figures) add(name, format string, v any) {
	*f = append(*f, name+"="+fmt.Sprintf(format, v))
}

// errBound marks a broken bound.
var errBound = errors.New("a bound is broken")

func main() {
	if kind := os.Getenv(childEnv); kind != "" {
		if err := child(kind, os.Args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, "experiment:", err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) < 2 || scenarios[os.Args[1]].run == nil || len(os.Args) > 2 && !flagged[os.Args[1]] {
		fmt.Fprintln(os.Stderr, "usage: experiment SCENARIO, or experiment scale, config, soak or servers with flags: see -h")
		for _, name := range slices.Sorted(maps.Keys(scenarios)) {
			fmt.Fprintf(os.Stderr, "  %-12s %s\n", name, scenarios[name].about)
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fmt.Printf("%s on %d cores, %s\n", os.Args[1], runtime.NumCPU(), runtime.Version())
	f, err := scenarios[os.Args[1]].run(ctx, os.Stdout)
	fmt.Println(strings.Join(f, " "))
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		stop()
		os.Exit(1)
	}
}
