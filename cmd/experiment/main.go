// Command experiment runs the project's measurements. Each scenario has fixed seeds and a bounded time, runs
// on loopback, and prints a table and, last, its measurements as name=value. It exits with status 1 if a bound
// that the scenario states is broken. docs/MEASUREMENTS.md has the results; CI runs none of them.
//
// The program is also the processes that are measured: see child.
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

// scenario is a kind of measured run. Its name is in journals of earlier runs.
type scenario struct {
	about      string
	run        func(ctx context.Context, out io.Writer, args []string) (measurements, error)
	takesFlags bool
}

// withoutFlags adapts the run of a scenario that takes no flags.
func withoutFlags(run func(context.Context, io.Writer) (measurements, error)) func(context.Context, io.Writer, []string) (measurements, error) {
	return func(ctx context.Context, out io.Writer, _ []string) (measurements, error) { return run(ctx, out) }
}

var scenarios = map[string]scenario{
	"services":     {about: "a service beside an overloaded and a silent one, and reloads under load", run: withoutFlags(servicesRun)},
	"planners":     {about: "forwarders with planners beside nodes of one level: steady load, bursts, failures", run: withoutFlags(plannersRun)},
	"cold":         {about: "servers in slow start under 20 and 30 processes, and under 300 and 2,600 nodes in virtual time", run: withoutFlags(slowStartRun)},
	"planners-sim": {about: "nodes of one level beside shared views of a tier, in virtual time", run: withoutFlags(plannersSimRun)},
	"mass":         {about: "six days of 300 nodes and 200 servers in virtual time, on six seeds each", run: withoutFlags(fleetDaysRun)},
	"operation":    {about: "the admin address, long bodies beside httputil.ReverseProxy, and their memory", run: withoutFlags(operationRun)},
	"cluster":      {about: "a group of three voters: memory, compare-and-sets, and leaders killed and stopped", run: withoutFlags(clusterRun)},
	"config":       {about: "changes of the configuration from voters through relays to many nodes", run: configRun, takesFlags: true},
	"members":      {about: "fleets of 5, 12 and 30 processes through joins, leaves, kills, partitions, loss and pauses", run: withoutFlags(membersRun)},
	"ready":        {about: "thirty and sixty processes restarted together, while discovery serves, is overloaded or is down", run: withoutFlags(readyRun)},
	"keys":         {about: "a node's idempotency keys in memory, on the disk, and through kills", run: withoutFlags(keysRun)},
	"soak":         {about: "real processes through overlapping faults drawn from seeds, checked by an oracle", run: soakRun, takesFlags: true},
	"servers":      {about: "a real node with a share of a core before 200, 800 and 3,200 listed servers, against limits", run: serversRun, takesFlags: true},
	"scale":        {about: "how costs grow with the size of a deployment, against limits at the stated size", run: scaleRun, takesFlags: true},
	"overhead":     {about: "processor time and p99 beside httputil.ReverseProxy", run: withoutFlags(overheadRun)},
}

// measurements are a scenario's results as name=value, in order.
type measurements []string

func (m *measurements) add(name, format string, v any) {
	*m = append(*m, name+"="+fmt.Sprintf(format, v))
}

// errBound says that a bound which the scenario states is broken.
var errBound = errors.New("a bound is broken")

func main() {
	if kind := os.Getenv(childEnv); kind != "" {
		if err := child(kind, os.Args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, "experiment:", err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) < 2 {
		usage()
	}
	name, args := os.Args[1], os.Args[2:]
	s, ok := scenarios[name]
	if !ok || len(args) > 0 && !s.takesFlags {
		usage()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fmt.Printf("%s on %d cores, %s\n", name, runtime.NumCPU(), runtime.Version())
	results, err := s.run(ctx, os.Stdout, args)
	fmt.Println(strings.Join(results, " "))
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		stop()
		os.Exit(1)
	}
}

// usage lists the scenarios and exits.
func usage() {
	fmt.Fprintln(os.Stderr, "usage: experiment SCENARIO, or experiment scale, config, soak or servers with flags: see -h")
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		fmt.Fprintf(os.Stderr, "  %-12s %s\n", name, scenarios[name].about)
	}
	os.Exit(2)
}
